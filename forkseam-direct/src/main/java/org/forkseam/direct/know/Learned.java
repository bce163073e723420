package org.forkseam.direct.know;

import org.forkseam.core.crash.CrashFact;
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
 * Holds what routers have learned from targets' answers, this one's own and others': their load,
 * which have read a prompt, which ended under a request, and which leave. Used on the event loop.
 */
final class Learned {
    private final Clock mClock;
    private final TargetDirectory mTargets;
    private final PromptHolderIndex mHolders = PromptHolderIndex.create();
    private final GossipQueue<PromptHolder> mHolderNews =
            GossipQueue.of(PromptHolder.MAX_PER_MESSAGE, f -> 0);
    private final Quarantine mQuarantine;
    private final TargetWords mWords;

    Learned(Clock clock, TargetDirectory targets, Quarantine quarantine, TargetWords words) {
        mClock = clock;
        mTargets = targets;
        mQuarantine = quarantine;
        mWords = words;
    }

    PromptHolderIndex holders() {
        return mHolders;
    }

    /**
     * Notes that a target has answered a request with a key, and so has read its prompt.
     *
     * @param known whether all routers take that for granted
     */
    void onAnswered(long key, Target t, boolean known) {
        boolean news = mHolders.onAnswered(key, t.start(), mClock.nowMillis());
        if (news && !known) {
            mHolderNews.add(new PromptHolder(key, t.shortHash()));
        }
    }

    /** Returns what another router should be told, if there is anything. */
    Optional<PeerMessage> news() {
        List<LoadReading> loads = LoadGossip.newestReadings(mTargets.all(), mClock.nowMillis());
        List<PromptHolder> holders = mHolderNews.nextBatch();
        List<CrashFact> crashes = mQuarantine.news();
        List<Integer> leaving = mWords.news();
        return loads.isEmpty() && holders.isEmpty() && crashes.isEmpty() && leaving.isEmpty()
                ? Optional.empty()
                : Optional.of(new PeerMessage.Learned(loads, holders, crashes, leaving));
    }

    /** Takes in what another router has learned. */
    void take(PeerMessage.Learned l) {
        LoadGossip.apply(l.loads(), mTargets::findByShortHash, mClock.nowMillis());
        for (PromptHolder f : l.holders()) {
            mTargets.findByShortHash(f.target()).ifPresent(t -> takeHolder(f, t));
        }
        mQuarantine.take(l.crashes());
        mWords.take(l.leaving());
    }

    private void takeHolder(PromptHolder f, Target t) {
        if (mHolders.onAnswered(f.key(), t.start(), mClock.nowMillis())) {
            mHolderNews.add(f);
        }
    }
}
