package org.forkseam.direct.know;

import org.forkseam.core.crash.CrashEvent;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.route.PromptHolderIndex;
import org.forkseam.core.share.GossipQueue;
import org.forkseam.core.share.LoadGossip;
import org.forkseam.core.share.LoadReading;
import org.forkseam.core.share.PromptHolder;
import org.forkseam.core.util.Clock;

import java.util.List;
import java.util.Optional;

/**
 * Collects what this router and others observe in targets' responses: load, processed prompts,
 * crashes under a request, and shutdown. Confined to the event loop.
 */
final class TargetObservations {
    private final Clock mClock;
    private final TargetDirectory mTargets;
    private final PromptHolderIndex mHolders = PromptHolderIndex.create();
    private final GossipQueue<PromptHolder> mHolderGossip =
            GossipQueue.of(PromptHolder.MAX_PER_MESSAGE, f -> 0);
    private final Quarantine mQuarantine;
    private final TargetSignals mSignals;

    TargetObservations(
            Clock clock, TargetDirectory targets, Quarantine quarantine, TargetSignals signals) {
        mClock = clock;
        mTargets = targets;
        mQuarantine = quarantine;
        mSignals = signals;
    }

    PromptHolderIndex holders() {
        return mHolders;
    }

    /**
     * Records that a target has answered a request with a key and so has processed its prompt.
     *
     * @param implied whether all routers infer this from the shard table, so it need not be sent
     */
    void onAnswered(long key, Target t, boolean implied) {
        boolean isNew = mHolders.onAnswered(key, t.incarnation(), mClock.nowMillis());
        if (isNew && !implied) {
            mHolderGossip.add(new PromptHolder(key, t.shortHash()));
        }
    }

    /** Returns the observations to send to another router; empty if there are none. */
    Optional<PeerMessage> digest() {
        List<LoadReading> loads = LoadGossip.newestReadings(mTargets.all(), mClock.nowMillis());
        List<PromptHolder> holders = mHolderGossip.nextBatch();
        List<CrashEvent> crashes = mQuarantine.digest();
        List<Integer> leaving = mSignals.digest();
        return loads.isEmpty() && holders.isEmpty() && crashes.isEmpty() && leaving.isEmpty()
                ? Optional.empty()
                : Optional.of(new PeerMessage.Observations(loads, holders, crashes, leaving));
    }

    /** Applies another router's observations. */
    void apply(PeerMessage.Observations o) {
        LoadGossip.apply(o.loads(), mTargets::findByShortHash, mClock.nowMillis());
        for (PromptHolder f : o.holders()) {
            mTargets.findByShortHash(f.target()).ifPresent(t -> applyHolder(f, t));
        }
        mQuarantine.apply(o.crashes());
        mSignals.apply(o.leaving());
    }

    private void applyHolder(PromptHolder f, Target t) {
        if (mHolders.onAnswered(f.key(), t.incarnation(), mClock.nowMillis())) {
            mHolderGossip.add(f);
        }
    }
}
