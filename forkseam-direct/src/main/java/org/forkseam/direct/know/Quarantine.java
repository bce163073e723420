package org.forkseam.direct.know;

import org.forkseam.core.crash.CrashEvent;
import org.forkseam.core.crash.Fingerprint;
import org.forkseam.core.crash.PoisonRequestDetector;
import org.forkseam.core.crash.QuarantineTerm;
import org.forkseam.core.crash.RequestFingerprints;
import org.forkseam.core.share.GossipQueue;
import org.forkseam.core.share.LoadGossip;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Refuses, on all routers, requests that crash the targets which process them. Confined to the
 * event loop.
 *
 * <p>Such a request would otherwise take down the whole pool, since clients retry it at any router
 * under a new id, or send others that have the same part in their prompts. Routers exchange which
 * targets crashed under which fingerprints, by gossip, so that the number of messages grows
 * linearly with the number of routers. A router that knows of three crashes refuses the fingerprint
 * at once and writes a shared row that outlives all routers.
 *
 * <p>An answered fingerprint is released regardless of earlier crashes: harmless requests may have
 * been in flight during three crashes of another cause. The release takes effect locally at once,
 * and on the other routers by messages and the row.
 *
 * <p>Fingerprints that were in flight in the same three crashes are quarantined together. Requests
 * that have all of them are refused; of those that have only some, one at a time is tried.
 *
 * @since 0.5
 */
public final class Quarantine extends FollowerBase {
    /**
     * Maximum random delay before a router that learned of a quarantine from others writes its row,
     * so that only a few write it; the router that observed the last crash writes at once. Half of
     * the time within which all connected routers have to refuse.
     */
    private static final long MAX_WRITE_JITTER_MILLIS = 1_500;

    /**
     * Delay before the row of a part is written, since the row tells which parts are tied. Crashes
     * of the parts of one request may arrive in two messages.
     */
    private static final long TIES_SETTLE_MILLIS = 2 * LoadGossip.PERIOD_MILLIS;

    private static final long SWEEP_PERIOD_MILLIS = 60_000;

    /** Time after which the result of a trial is usually known. */
    private static final long TRIAL_RESULT_MILLIS = 1_000;

    private final RowFollower mRowFollower;
    private final QuarantineRows mRows;
    private final SuspectRows mSuspectRows;
    private final PoisonRequestDetector mDetector = PoisonRequestDetector.create();
    private final GossipQueue<CrashEvent> mCrashGossip =
            GossipQueue.of(CrashEvent.MAX_PER_MESSAGE, e -> mDetector.crashCount(e.fingerprint()));

    /** Time on the store's clock at which the row of a part was first known here. */
    private final Map<Long, Long> mRowKnownAt = new HashMap<>();

    private int mWriteFailures;

    /** Decision on a fingerprint of a request. */
    public enum Verdict {
        /** The request is served. */
        SERVE,
        /** This router may ask for a single trial: the term has ended, or the cause is in doubt. */
        TRY,
        /** The request is refused because it crashes targets. */
        REFUSE
    }

    /** Creates an empty quarantine; terms are measured on the clock of the store. */
    Quarantine(Context context, SharedRows rows, RowFollower follower) {
        super(context);
        mRowFollower = follower;
        mRows = new QuarantineRows(rows, follower);
        mSuspectRows = new SuspectRows(rows, follower::storeMillis);
    }

    void start() {
        schedule(SWEEP_PERIOD_MILLIS + jitterMillis(), this::sweep);
    }

    // ---------------------------------------------------------------- decisions

    /** Returns the decision on a request that has no other fingerprint. */
    public Verdict verdict(long fingerprint) {
        return verdict(fingerprint, Set.of(fingerprint));
    }

    /**
     * Returns the decision on one fingerprint of a request.
     *
     * @param request all fingerprints of the request
     */
    public Verdict verdict(long fingerprint, Set<Long> request) {
        Optional<QuarantineTerm> term = mRows.term(fingerprint);
        if (term.isEmpty()) {
            return isDetected(fingerprint) ? Verdict.REFUSE : Verdict.SERVE;
        }
        OptionalLong now = mRowFollower.storeMillis();
        if (now.isEmpty() || term.get().isInTrial(now.getAsLong())) {
            return Verdict.REFUSE;
        }
        boolean isOver = !term.get().isActive(now.getAsLong());
        return isOver || isCauseInDoubt(fingerprint, request) ? Verdict.TRY : Verdict.REFUSE;
    }

    /** Returns whether the fingerprint is refused as long as its term lasts. */
    private boolean isQuarantined(long fingerprint) {
        return mRows.term(fingerprint).isPresent() || isDetected(fingerprint);
    }

    /** Returns whether there are enough crashes that no quarantined part explains. */
    private boolean isDetected(long fingerprint) {
        return mDetector.isPoison(fingerprint)
                && mDetector.isPoisonBesides(fingerprint, certainParts());
    }

    /**
     * Returns whether a fingerprint may be quarantined only because of another one that the request
     * does not have, and that has not been answered since.
     */
    private boolean isCauseInDoubt(long fingerprint, Set<Long> request) {
        return tied(fingerprint).stream()
                .anyMatch(t -> !request.contains(t) && isAsLikely(t, fingerprint));
    }

    /**
     * Returns whether a tied fingerprint is at least as likely the cause: with as many crashes, or
     * as the alternative in a trial that has failed.
     */
    private boolean isAsLikely(long tied, long fingerprint) {
        Optional<QuarantineTerm> term = mRows.term(fingerprint);
        boolean hasFailedTrial = term.isPresent() && !term.get().isInitial(fingerprint);
        return isSuspect(tied)
                && (hasFailedTrial
                        || mDetector.crashCount(tied) >= comparableCrashes(fingerprint, tied));
    }

    /**
     * Returns the crashes of a fingerprint that were counted for a tied one as well: crashes of a
     * part are no longer counted once its row is there.
     */
    private int comparableCrashes(long fingerprint, long tied) {
        Long until = mRowKnownAt.get(tied);
        return until == null || mRows.term(tied).isEmpty()
                ? mDetector.crashCount(fingerprint)
                : mDetector.crashCountUntil(fingerprint, until);
    }

    private boolean isSuspect(long fingerprint) {
        return mRows.term(fingerprint).isPresent() || mDetector.crashCount(fingerprint) > 0;
    }

    private List<Long> certainParts() {
        return mRows.parts().stream().filter(f -> !isCauseInDoubt(f, Set.of())).toList();
    }

    private List<Long> tied(long fingerprint) {
        return mRows.term(fingerprint)
                .map(QuarantineTerm::tied)
                .orElseGet(() -> mDetector.tied(fingerprint));
    }

    /**
     * Returns the time after which a refused caller should retry, in milliseconds.
     *
     * @param request all fingerprints of the request
     */
    public long retryAfterMillis(long fingerprint, Set<Long> request) {
        return isCauseInDoubt(fingerprint, request)
                ? TRIAL_RESULT_MILLIS
                : retryAfterMillis(fingerprint);
    }

    /** Returns the remaining term, in milliseconds. */
    public long retryAfterMillis(long fingerprint) {
        long now = mRowFollower.storeMillis().orElse(0);
        QuarantineTerm term =
                mRows.term(fingerprint).orElseGet(() -> initialTerm(fingerprint, now));
        return Math.max(1, term.remainingMillis(now));
    }

    private QuarantineTerm initialTerm(long fingerprint, long now) {
        return QuarantineTerm.initial(fingerprint, mDetector.tied(fingerprint), now);
    }

    /** Requests a trial; one router at a time is granted it. */
    public CompletableFuture<Boolean> requestTrial(long fingerprint) {
        Optional<QuarantineTerm> term = mRows.term(fingerprint);
        OptionalLong now = mRowFollower.storeMillis();
        if (term.isEmpty() || now.isEmpty()) {
            return CompletableFuture.completedFuture(false); // row or clock unknown
        }
        QuarantineTerm trial = term.get().withTrial(now.getAsLong(), peers().host());
        return mRows.write(fingerprint, trial)
                .exceptionally(e -> false) // logged by the callee
                .whenComplete(
                        (granted, e) ->
                                Event.always("quarantine_trial")
                                        .with("content", Hashes.toHex(fingerprint))
                                        .with("granted", granted)
                                        .log());
    }

    /** Records the outcome of a trial that was granted to this router. */
    public void onTrialEnded(long fingerprint, boolean answered) {
        Optional<QuarantineTerm> term = mRows.term(fingerprint);
        OptionalLong now = mRowFollower.storeMillis();
        if (term.isPresent() && now.isPresent()) {
            QuarantineTerm next =
                    answered ? QuarantineTerm.released() : term.get().doubled(now.getAsLong());
            mRows.write(fingerprint, next); // after a failure another trial follows
        }
    }

    /**
     * Records that a target crashed while it was processing a request of this router. If a
     * fingerprint of the request is certainly a cause, the others are not blamed.
     */
    public void onCrash(RequestFingerprints request, int crash) {
        Set<Long> certain = new LinkedHashSet<>(request.all());
        certain.removeIf(f -> !isQuarantined(f) || isCauseInDoubt(f, Set.of()));
        request.all().forEach(f -> endFailedTrial(f, request));
        onCrash(certain.isEmpty() ? request.all() : certain, crash);
    }

    private void onCrash(Set<Long> fingerprints, int crash) {
        List<Long> recorded = new ArrayList<>();
        OptionalLong at = mRowFollower.storeMillis();
        for (long f : fingerprints) {
            CrashEvent event =
                    Fingerprint.isPart(f) && at.isPresent()
                            ? CrashEvent.ofPart(f, at.getAsLong())
                            : new CrashEvent(f, crash);
            if (recordCrash(event)) {
                mCrashGossip.add(event);
                recorded.add(f);
            }
        }
        recorded.forEach(f -> onCrashRecorded(f, true));
    }

    /** Ends the trial of a part by this router, if there is one. */
    private void endFailedTrial(long fingerprint, RequestFingerprints request) {
        Optional<QuarantineTerm> trial =
                mRows.term(fingerprint).filter(t -> t.trialHost().equals(peers().host()));
        OptionalLong now = mRowFollower.storeMillis();
        if (!Fingerprint.isPart(fingerprint) || trial.isEmpty() || now.isEmpty()) {
            return;
        }
        mRows.write(
                fingerprint,
                trial.get()
                        .doubled(now.getAsLong())
                        .withTied(alternatives(fingerprint, request, trial.get())));
    }

    /**
     * Returns the parts that may have caused the crash of a trial instead, if the cause was in
     * doubt. After a second trial it is taken for certain, as requests may have any number of
     * unknown parts.
     */
    private List<Long> alternatives(
            long fingerprint, RequestFingerprints request, QuarantineTerm trial) {
        if (!trial.isInitial(fingerprint) || !isCauseInDoubt(fingerprint, Set.of())) {
            return List.of();
        }
        return request.all().stream()
                .filter(f -> f != fingerprint && Fingerprint.isPart(f))
                .filter(f -> !mDetector.isKnownHarmless(f, now()))
                .toList();
    }

    /** Records that a target has answered a request. */
    public void onAnswered(long fingerprint) {
        boolean wasSuspect = mDetector.onAnswered(fingerprint, now());
        clear(fingerprint, wasSuspect, true);
    }

    /**
     * Announces the answer of a fingerprint to other routers and releases it, if it was suspect or
     * refused.
     */
    private void clear(long fingerprint, boolean wasSuspect, boolean observedHere) {
        boolean wasRefused = mRows.term(fingerprint).isPresent();
        if (!wasSuspect && !wasRefused) {
            return;
        }
        if (observedHere) {
            mCrashGossip.removeIf(e -> e.fingerprint() == fingerprint);
        }
        mCrashGossip.add(CrashEvent.answered(fingerprint));
        if (wasRefused) {
            release(fingerprint, observedHere);
        }
    }

    /** Returns whether one more crash leads to the refusal of a request. */
    public boolean isOneCrashFromQuarantine(RequestFingerprints request) {
        return request.all().stream().anyMatch(this::isOneCrashFromQuarantine);
    }

    private boolean isOneCrashFromQuarantine(long fingerprint) {
        return mDetector.crashCount(fingerprint) == PoisonRequestDetector.CRASH_THRESHOLD - 1;
    }

    /** Returns the refused requests with their remaining time in milliseconds. */
    Map<String, Long> dump() {
        return mRows.dump(mRowFollower.storeMillis().orElse(0));
    }

    /** Returns the number of cached quarantine rows. */
    public int refused() {
        return mRows.size();
    }

    /** Returns the number of fingerprints with a known crash, refused ones included. */
    int suspects() {
        return mDetector.suspectCount();
    }

    // ---------------------------------------------------------------- other routers

    /** Returns the crashes and answers to send to another router. */
    List<CrashEvent> digest() {
        return mCrashGossip.nextBatch().stream().flatMap(e -> current(e).stream()).toList();
    }

    /** Updates the age of an answer; returns empty if it is no longer relevant. */
    private Optional<CrashEvent> current(CrashEvent e) {
        return e.isAnswered() ? mDetector.lastAnswer(e.fingerprint(), now()) : Optional.of(e);
    }

    /** Applies another router's crashes and answers. */
    void apply(List<CrashEvent> events) {
        List<Long> recorded = new ArrayList<>();
        for (CrashEvent e : events) {
            if (e.isAnswered()) {
                boolean wasSuspect = mDetector.onEvent(e, now());
                if (mDetector.wasAnsweredRecently(e.fingerprint(), now())) {
                    clear(e.fingerprint(), wasSuspect, false);
                }
            } else if (recordCrash(e)) {
                mCrashGossip.add(e);
                recorded.add(e.fingerprint());
            } else if (mDetector.hasSeenAnswerRecently(e.fingerprint(), now())) {
                mCrashGossip.add(CrashEvent.answered(e.fingerprint()));
            }
        }
        recorded.forEach(f -> onCrashRecorded(f, false));
    }

    /** Records a crash and returns whether it was new. */
    private boolean recordCrash(CrashEvent e) {
        return mRows.term(e.fingerprint()).isEmpty() && mDetector.onEvent(e, now());
    }

    private void onCrashRecorded(long fingerprint, boolean observedHere) {
        if (isDetected(fingerprint)) {
            onQuarantined(fingerprint, observedHere);
        } else if (observedHere && isOneCrashFromQuarantine(fingerprint)) {
            mSuspectRows.write(fingerprint, mDetector.events(fingerprint));
        }
    }

    private void onQuarantined(long fingerprint, boolean observedHere) {
        Event.always("request_convicted")
                .with("content", Hashes.toHex(fingerprint))
                .with("part", Fingerprint.isPart(fingerprint))
                .with("crashes", mDetector.crashCount(fingerprint))
                .with("tied", mDetector.tied(fingerprint).stream().map(Hashes::toHex).toList())
                .with("saw_last", observedHere)
                .log();
        long settle = Fingerprint.isPart(fingerprint) ? TIES_SETTLE_MILLIS : 0;
        schedule(settle + writeDelayMillis(observedHere), () -> writeInitialTerm(fingerprint));
    }

    /** Returns the delay before writing a row, within which another router may have written it. */
    private long writeDelayMillis(boolean observedHere) {
        return observedHere ? 0 : fleetJitterMillis(MAX_WRITE_JITTER_MILLIS);
    }

    /**
     * Releases a request on this router and schedules the write of the row that releases it on all
     * routers.
     */
    private void release(long fingerprint, boolean observedHere) {
        Event.always("request_acquitted")
                .with("content", Hashes.toHex(fingerprint))
                .with("saw_answer", observedHere)
                .log();
        mRows.releaseLocally(fingerprint);
        schedule(writeDelayMillis(observedHere), () -> writeRelease(fingerprint));
    }

    // ---------------------------------------------------------------- rows

    /** Applies a changed row. */
    void apply(SharedRow row) {
        mSuspectRows.apply(row).forEach(this::applySuspect);
        mRows.apply(row).ifPresent(this::onChange);
    }

    /**
     * Applies a crash from a row. Not passed on to other routers, which read the row themselves.
     */
    private void applySuspect(CrashEvent f) {
        if (recordCrash(f)) {
            onCrashRecorded(f.fingerprint(), false);
        }
    }

    private void onChange(QuarantineRows.Change c) {
        mCrashGossip.removeIf(
                e -> e.fingerprint() == c.content() && !e.isAnswered()); // all read the row
        if (mRows.term(c.content()).isEmpty()) {
            mDetector.forget(c.content());
            mRowKnownAt.remove(c.content());
        } else if (Fingerprint.isPart(c.content())) {
            mRowFollower.storeMillis().ifPresent(at -> mRowKnownAt.putIfAbsent(c.content(), at));
        }
        Event.always("quarantine")
                .with("content", Hashes.toHex(c.content()))
                .with("term_ms", c.term().map(QuarantineTerm::termMillis).orElse(0L))
                .log();
        if (mRows.term(c.content()).isPresent()
                && mDetector.wasAnsweredRecently(c.content(), now())) {
            release(c.content(), false); // the answer preceded the row
        }
    }

    /** Writes the first term of a poison request unless another router has done so. */
    private void writeInitialTerm(long fingerprint) {
        if (isStopped() || mRows.term(fingerprint).isPresent() || !isDetected(fingerprint)) {
            return;
        }
        OptionalLong now = mRowFollower.storeMillis();
        if (now.isEmpty()) {
            retryWriteInitialTerm(fingerprint);
            return;
        }
        mRows.write(fingerprint, initialTerm(fingerprint, now.getAsLong()))
                .whenComplete(
                        (own, failure) -> {
                            if (failure == null) {
                                mWriteFailures = 0;
                            } else {
                                retryWriteInitialTerm(fingerprint);
                            }
                        });
    }

    /** Writes the release of an answered request unless another router has done so. */
    private void writeRelease(long fingerprint) {
        if (isStopped() || !mRows.isReleasePending(fingerprint)) {
            return;
        }
        mRows.write(fingerprint, QuarantineTerm.released())
                .whenComplete(
                        (own, failure) -> {
                            if (mRows.isReleasePending(fingerprint)) {
                                schedule(
                                        backoffMillis(++mWriteFailures),
                                        () -> writeRelease(fingerprint));
                            }
                        });
    }

    private void retryWriteInitialTerm(long fingerprint) {
        schedule(backoffMillis(++mWriteFailures), () -> writeInitialTerm(fingerprint));
    }

    /** Removes expired rows; only the router that reads the rows for all does so. */
    private void sweep() {
        if (isStopped()) {
            return;
        }
        schedule(SWEEP_PERIOD_MILLIS + jitterMillis(), this::sweep);
        if (mRowFollower.isReader() && mRowFollower.storeMillis().isPresent()) {
            mRows.sweep(mRowFollower.storeMillis().getAsLong());
            mSuspectRows.sweep();
        }
    }
}
