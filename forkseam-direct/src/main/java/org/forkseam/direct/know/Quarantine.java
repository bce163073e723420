package org.forkseam.direct.know;

import org.forkseam.core.crash.CrashFact;
import org.forkseam.core.crash.CrashSuspects;
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
 * Keeps requests under which targets end from further targets, on all routers. Used on the event
 * loop.
 *
 * <p>A request that ends each target that runs it would otherwise end the whole pool, since it
 * comes again at any router under a new id. Each router tells the others which targets ended under
 * which requests; whoever knows of three ends refuses the request at once, and writes a row that
 * outlasts all routers. The news goes with the loads, from router to router at random, so that an
 * end costs the fleet messages by the number of routers, not by its square.
 *
 * <p>An answer acquits: a request that ends its targets never gets one. Copies of one request that
 * were under way beside three ends of another cause had it refused for ten minutes, although the
 * other copies were answered right after. So an answer releases a request whatever was counted
 * against it before, here at once and on the other routers with the news and the row.
 *
 * @since 0.5
 */
public final class Quarantine extends FollowerBase {
    /**
     * Routers that learn of a third end write the row at a random moment of a span that grows with
     * their number, so that a few of them write it; the one that saw the end writes at once. The
     * longest span is half of the time in which all routers in touch with the store are to refuse.
     * Unit: milliseconds.
     */
    private static final long MAX_WRITE_SPREAD_MILLIS = 1_500;

    /** Rows whose time is over are looked for so often. Unit: milliseconds. */
    private static final long SWEEP_MILLIS = 60_000;

    private final RowFollower mFollower;
    private final QuarantineRows mRows;
    private final CrashWarnings mWarnings;
    private final CrashSuspects mSuspects = CrashSuspects.create();
    private final GossipQueue<CrashFact> mNews =
            GossipQueue.of(CrashFact.MAX_FACTS, f -> mSuspects.crashes(f.content()));
    private int mWriteFailures;

    /** Says what to do with a request. */
    public enum Verdict {
        /** It is served as any other. */
        SERVE,
        /** It is refused: targets end under it. */
        REFUSE,
        /** Its term is over: this router may ask to try it once. */
        TRY
    }

    /** Creates one that knows nothing yet; terms are told by the clock of the rows' store. */
    Quarantine(Surroundings around, SharedRows rows, RowFollower follower) {
        super(around);
        mFollower = follower;
        mRows = new QuarantineRows(rows, follower);
        mWarnings = new CrashWarnings(rows, follower::storeMillis);
    }

    void start() {
        later(SWEEP_MILLIS + spread(), this::sweep);
    }

    // ---------------------------------------------------------------- use

    /** Returns what to do with a request. */
    public Verdict verdict(long content) {
        Optional<QuarantineTerm> term = mRows.term(content);
        if (term.isEmpty()) {
            return mSuspects.isConvicted(content) ? Verdict.REFUSE : Verdict.SERVE;
        }
        OptionalLong now = mFollower.storeMillis();
        boolean isOver = now.isPresent() && !term.get().isRunning(now.getAsLong());
        return isOver ? Verdict.TRY : Verdict.REFUSE;
    }

    /** Returns after how many milliseconds a refused caller should come back. */
    public long backInMillis(long content) {
        long now = mFollower.storeMillis().orElse(0);
        QuarantineTerm term = mRows.term(content).orElse(QuarantineTerm.first(now));
        return Math.max(1, term.leftMillis(now));
    }

    /** Asks to send a request once whose term is over; of all routers, one may at a time. */
    public CompletableFuture<Boolean> askToTry(long content) {
        Optional<QuarantineTerm> term = mRows.term(content);
        OptionalLong now = mFollower.storeMillis();
        if (term.isEmpty() || now.isEmpty()) {
            return CompletableFuture.completedFuture(false); // changed meanwhile
        }
        QuarantineTerm tried = term.get().tried(now.getAsLong(), link().host());
        return mRows.write(content, tried)
                .exceptionally(e -> false) // logged where it failed
                .whenComplete(
                        (granted, e) ->
                                Event.always("quarantine_trial")
                                        .with("content", Hashes.toHex(content))
                                        .with("granted", granted)
                                        .log());
    }

    /** Notes how the trial of a request ended that this router was allowed. */
    public void onTrialEnded(long content, boolean answered) {
        Optional<QuarantineTerm> term = mRows.term(content);
        OptionalLong now = mFollower.storeMillis();
        if (term.isPresent() && now.isPresent()) {
            QuarantineTerm next =
                    answered ? QuarantineTerm.released() : term.get().doubled(now.getAsLong());
            mRows.write(content, next); // if it fails, another trial follows
        }
    }

    /** Notes that a request's target ended, as this router saw. */
    public void onCrash(long content, int crash) {
        CrashFact fact = new CrashFact(content, crash);
        if (suspect(fact)) {
            mNews.add(fact);
            onSuspected(content, true);
        }
    }

    /** Notes that a target has answered a request. */
    public void onAnswered(long content) {
        acquit(content, true);
    }

    /**
     * Takes it in that a target has answered a request; tells it on only if something was held
     * against the request.
     */
    private void acquit(long content, boolean sawIt) {
        boolean wasSuspect = mSuspects.onAnswered(content, now());
        boolean wasRefused = mRows.term(content).isPresent();
        if (!wasSuspect && !wasRefused) {
            return;
        }
        if (sawIt) {
            mNews.removeIf(f -> f.content() == content);
        }
        mNews.add(CrashFact.answered(content));
        if (wasRefused) {
            release(content, sawIt);
        }
    }

    /** Returns whether a request is refused once one more target ends under it. */
    public boolean isLastCrashAllowed(long content) {
        return mSuspects.crashes(content) == CrashSuspects.CRASHES_TO_CONVICT - 1;
    }

    /** Returns the refused requests, and for how many milliseconds more. */
    Map<String, Long> dump() {
        return mRows.dump(mFollower.storeMillis().orElse(0));
    }

    /** Returns the number of requests that rows refuse. */
    public int refused() {
        return mRows.size();
    }

    /** Returns the number of requests under which a target has ended, without the refused ones. */
    int suspects() {
        return mSuspects.size();
    }

    // ---------------------------------------------------------------- other routers

    /** Returns what another router should be told. */
    List<CrashFact> news() {
        return mNews.nextBatch();
    }

    /** Takes in what another router has learned. */
    void take(List<CrashFact> facts) {
        for (CrashFact f : facts) {
            if (f.isAnswered()) {
                acquit(f.content(), false);
            } else if (suspect(f)) {
                mNews.add(f);
                onSuspected(f.content(), false);
            }
        }
    }

    /** Counts an end of a target, and returns whether it was news. */
    private boolean suspect(CrashFact f) {
        return mRows.term(f.content()).isEmpty() && mSuspects.take(f, now());
    }

    private void onSuspected(long content, boolean sawIt) {
        if (mSuspects.isConvicted(content)) {
            onConvicted(content, sawIt);
        } else if (sawIt && isLastCrashAllowed(content)) {
            mWarnings.write(content, mSuspects.of(content));
        }
    }

    private void onConvicted(long content, boolean sawIt) {
        Event.always("request_convicted")
                .with("content", Hashes.toHex(content))
                .with("crashes", mSuspects.crashes(content))
                .with("saw_last", sawIt)
                .log();
        later(writePause(sawIt), () -> writeFirst(content));
    }

    /** Returns how long to wait for another router to write a row that this one need not. */
    private long writePause(boolean sawIt) {
        return sawIt ? 0 : spreadOverRouters(MAX_WRITE_SPREAD_MILLIS);
    }

    /** Serves a request again here, and has the row say so on all routers. */
    private void release(long content, boolean sawIt) {
        Event.always("request_acquitted")
                .with("content", Hashes.toHex(content))
                .with("saw_answer", sawIt)
                .log();
        mRows.releaseHere(content);
        later(writePause(sawIt), () -> writeReleased(content));
    }

    // ---------------------------------------------------------------- rows

    /** Takes in a row that changed. */
    void take(SharedRow row) {
        mWarnings.take(row).forEach(this::takeWarning);
        mRows.take(row).ifPresent(this::onChange);
    }

    /** All read the row that warns, so that it is not passed on. */
    private void takeWarning(CrashFact f) {
        if (suspect(f)) {
            onSuspected(f.content(), false);
        }
    }

    private void onChange(QuarantineRows.Change c) {
        mNews.removeIf(f -> f.content() == c.content() && !f.isAnswered()); // all read the row
        mSuspects.forget(c.content());
        Event.always("quarantine")
                .with("content", Hashes.toHex(c.content()))
                .with("term_ms", c.term().map(QuarantineTerm::termMillis).orElse(0L))
                .log();
        if (mRows.term(c.content()).isPresent() && mSuspects.wasAnswered(c.content(), now())) {
            release(c.content(), false); // the row and the answer have crossed
        }
    }

    /** Writes the first row of a convicted request, unless another router has. */
    private void writeFirst(long content) {
        if (isStopped() || !mSuspects.isConvicted(content)) {
            return;
        }
        OptionalLong now = mFollower.storeMillis();
        if (now.isEmpty()) {
            writeAgain(content);
            return;
        }
        mRows.write(content, QuarantineTerm.first(now.getAsLong()))
                .whenComplete(
                        (own, failure) -> {
                            if (failure == null) {
                                mWriteFailures = 0;
                            } else {
                                writeAgain(content);
                            }
                        });
    }

    /** Has the row of an answered request say that it is served, unless another router has. */
    private void writeReleased(long content) {
        if (isStopped() || !mRows.isReleasedHereOnly(content)) {
            return;
        }
        mRows.write(content, QuarantineTerm.released())
                .whenComplete(
                        (own, failure) -> {
                            if (mRows.isReleasedHereOnly(content)) {
                                later(pauseAfter(++mWriteFailures), () -> writeReleased(content));
                            }
                        });
    }

    private void writeAgain(long content) {
        later(pauseAfter(++mWriteFailures), () -> writeFirst(content));
    }

    /** Removes the rows of which nobody has use any more; one router does it for all. */
    private void sweep() {
        if (isStopped()) {
            return;
        }
        later(SWEEP_MILLIS + spread(), this::sweep);
        if (mFollower.isReader() && mFollower.storeMillis().isPresent()) {
            mRows.sweep(mFollower.storeMillis().getAsLong());
            mWarnings.sweep();
        }
    }
}
