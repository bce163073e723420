package org.forkseam.direct.know;

import org.forkseam.core.crash.CrashEvent;
import org.forkseam.core.crash.PoisonRequestDetector;
import org.forkseam.core.crash.QuarantineTerm;
import org.forkseam.core.share.GossipQueue;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Refuses, on all routers, requests that crash the targets which process them. Confined to the
 * event loop.
 *
 * <p>Such a request would otherwise take down the whole pool, since clients retry it at any router
 * under a new id. Routers exchange which targets crashed under which requests, by gossip, so that
 * the number of messages grows linearly with the number of routers. A router that knows of three
 * crashes refuses the request at once and writes a shared row that outlives all routers.
 *
 * <p>An answered request is released regardless of earlier crashes: copies of a harmless request
 * may have been in flight during three crashes of another cause. The release takes effect locally
 * at once, and on the other routers by messages and the row.
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

    private static final long SWEEP_PERIOD_MILLIS = 60_000;

    private final RowFollower mRowFollower;
    private final QuarantineRows mRows;
    private final SuspectRows mSuspectRows;
    private final PoisonRequestDetector mDetector = PoisonRequestDetector.create();
    private final GossipQueue<CrashEvent> mCrashGossip =
            GossipQueue.of(CrashEvent.MAX_PER_MESSAGE, f -> mDetector.crashCount(f.content()));
    private int mWriteFailures;

    /** Decision on a request. */
    public enum Verdict {
        /** The request is served. */
        SERVE,
        /** The request is refused because it crashes targets. */
        REFUSE,
        /** The term of the request has ended: this router may ask for a single trial. */
        TRY
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

    /** Returns the decision on a request. */
    public Verdict verdict(long content) {
        Optional<QuarantineTerm> term = mRows.term(content);
        if (term.isEmpty()) {
            return mDetector.isPoison(content) ? Verdict.REFUSE : Verdict.SERVE;
        }
        OptionalLong now = mRowFollower.storeMillis();
        boolean isOver = now.isPresent() && !term.get().isActive(now.getAsLong());
        return isOver ? Verdict.TRY : Verdict.REFUSE;
    }

    /** Returns the time after which a refused caller should retry, in milliseconds. */
    public long retryAfterMillis(long content) {
        long now = mRowFollower.storeMillis().orElse(0);
        QuarantineTerm term = mRows.term(content).orElse(QuarantineTerm.initial(now));
        return Math.max(1, term.remainingMillis(now));
    }

    /** Requests the trial of a request whose term has ended; one router at a time is granted it. */
    public CompletableFuture<Boolean> requestTrial(long content) {
        Optional<QuarantineTerm> term = mRows.term(content);
        OptionalLong now = mRowFollower.storeMillis();
        if (term.isEmpty() || now.isEmpty()) {
            return CompletableFuture.completedFuture(false); // row or clock unknown
        }
        QuarantineTerm trial = term.get().withTrial(now.getAsLong(), peers().host());
        return mRows.write(content, trial)
                .exceptionally(e -> false) // logged by the callee
                .whenComplete(
                        (granted, e) ->
                                Event.always("quarantine_trial")
                                        .with("content", Hashes.toHex(content))
                                        .with("granted", granted)
                                        .log());
    }

    /** Records the outcome of a trial that was granted to this router. */
    public void onTrialEnded(long content, boolean answered) {
        Optional<QuarantineTerm> term = mRows.term(content);
        OptionalLong now = mRowFollower.storeMillis();
        if (term.isPresent() && now.isPresent()) {
            QuarantineTerm next =
                    answered ? QuarantineTerm.released() : term.get().doubled(now.getAsLong());
            mRows.write(content, next); // after a failure another trial follows
        }
    }

    /** Records a crash of a target, observed by this router, while it was processing a request. */
    public void onCrash(long content, int crash) {
        CrashEvent event = new CrashEvent(content, crash);
        if (recordCrash(event)) {
            mCrashGossip.add(event);
            onCrashRecorded(content, true);
        }
    }

    /** Records that a target has answered a request. */
    public void onAnswered(long content) {
        clear(content, true);
    }

    /**
     * Clears the crashes of an answered request and releases it. Announced to other routers only if
     * the request was suspect or refused.
     */
    private void clear(long content, boolean observedHere) {
        boolean wasSuspect = mDetector.onAnswered(content, now());
        boolean wasRefused = mRows.term(content).isPresent();
        if (!wasSuspect && !wasRefused) {
            return;
        }
        if (observedHere) {
            mCrashGossip.removeIf(f -> f.content() == content);
        }
        mCrashGossip.add(CrashEvent.answered(content));
        if (wasRefused) {
            release(content, observedHere);
        }
    }

    /** Returns whether one more crash leads to the refusal of a request. */
    public boolean isOneCrashFromQuarantine(long content) {
        return mDetector.crashCount(content) == PoisonRequestDetector.CRASH_THRESHOLD - 1;
    }

    /** Returns the refused requests with their remaining time in milliseconds. */
    Map<String, Long> dump() {
        return mRows.dump(mRowFollower.storeMillis().orElse(0));
    }

    /** Returns the number of cached quarantine rows. */
    public int refused() {
        return mRows.size();
    }

    /** Returns the number of requests with at least one crash, without the refused ones. */
    int suspects() {
        return mDetector.suspectCount();
    }

    // ---------------------------------------------------------------- other routers

    /** Returns the crashes and answers to send to another router. */
    List<CrashEvent> digest() {
        return mCrashGossip.nextBatch();
    }

    /** Applies another router's crashes and answers. */
    void apply(List<CrashEvent> events) {
        for (CrashEvent f : events) {
            if (f.isAnswered()) {
                clear(f.content(), false);
            } else if (recordCrash(f)) {
                mCrashGossip.add(f);
                onCrashRecorded(f.content(), false);
            }
        }
    }

    /** Records a crash and returns whether it was new. */
    private boolean recordCrash(CrashEvent f) {
        return mRows.term(f.content()).isEmpty() && mDetector.onEvent(f, now());
    }

    private void onCrashRecorded(long content, boolean observedHere) {
        if (mDetector.isPoison(content)) {
            onQuarantined(content, observedHere);
        } else if (observedHere && isOneCrashFromQuarantine(content)) {
            mSuspectRows.write(content, mDetector.events(content));
        }
    }

    private void onQuarantined(long content, boolean observedHere) {
        Event.always("request_convicted")
                .with("content", Hashes.toHex(content))
                .with("crashes", mDetector.crashCount(content))
                .with("saw_last", observedHere)
                .log();
        schedule(writeDelayMillis(observedHere), () -> writeInitialTerm(content));
    }

    /** Returns the delay before writing a row, within which another router may have written it. */
    private long writeDelayMillis(boolean observedHere) {
        return observedHere ? 0 : fleetJitterMillis(MAX_WRITE_JITTER_MILLIS);
    }

    /**
     * Releases a request on this router and schedules the write of the row that releases it on all
     * routers.
     */
    private void release(long content, boolean observedHere) {
        Event.always("request_acquitted")
                .with("content", Hashes.toHex(content))
                .with("saw_answer", observedHere)
                .log();
        mRows.releaseLocally(content);
        schedule(writeDelayMillis(observedHere), () -> writeRelease(content));
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
            onCrashRecorded(f.content(), false);
        }
    }

    private void onChange(QuarantineRows.Change c) {
        mCrashGossip.removeIf(
                f -> f.content() == c.content() && !f.isAnswered()); // all read the row
        mDetector.forget(c.content());
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
    private void writeInitialTerm(long content) {
        if (isStopped() || !mDetector.isPoison(content)) {
            return;
        }
        OptionalLong now = mRowFollower.storeMillis();
        if (now.isEmpty()) {
            retryWriteInitialTerm(content);
            return;
        }
        mRows.write(content, QuarantineTerm.initial(now.getAsLong()))
                .whenComplete(
                        (own, failure) -> {
                            if (failure == null) {
                                mWriteFailures = 0;
                            } else {
                                retryWriteInitialTerm(content);
                            }
                        });
    }

    /** Writes the release of an answered request unless another router has done so. */
    private void writeRelease(long content) {
        if (isStopped() || !mRows.isReleasePending(content)) {
            return;
        }
        mRows.write(content, QuarantineTerm.released())
                .whenComplete(
                        (own, failure) -> {
                            if (mRows.isReleasePending(content)) {
                                schedule(
                                        backoffMillis(++mWriteFailures),
                                        () -> writeRelease(content));
                            }
                        });
    }

    private void retryWriteInitialTerm(long content) {
        schedule(backoffMillis(++mWriteFailures), () -> writeInitialTerm(content));
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
