package org.forkseam.direct.know;

import org.forkseam.core.crash.CrashFact;
import org.forkseam.core.crash.CrashSuspects;
import org.forkseam.core.crash.QuarantineTerm;
import org.forkseam.core.share.FactExchange;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
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
 * @since 0.5
 */
public final class Quarantine extends FollowerBase {
    /** Names the rows of refused requests; the content's hash follows. */
    private static final String ROW = "quarantine/";

    /**
     * Rows written at most, some 120 bytes each, so that a flood of different requests fills
     * neither the store nor the routers; each of them has ended three targets.
     */
    private static final int MAX_ROWS = 256;

    /** Rows remembered: several routers may write the last few at once. */
    private static final int MAX_KNOWN = 2 * MAX_ROWS;

    /**
     * Routers that learn of a third end write the row at a random moment of a span that grows with
     * their number, so that a few of them write it; the one that saw the end writes at once. The
     * longest span is half of the time in which all routers in touch with the store are to refuse.
     * Unit: milliseconds.
     */
    private static final long WRITE_SPREAD_MILLIS_A_ROUTER = 10;

    private static final long MAX_WRITE_SPREAD_MILLIS = 1_500;

    /** Rows whose time is over are looked for so often. Unit: milliseconds. */
    private static final long SWEEP_MILLIS = 60_000;

    private final SharedRows mRows;
    private final RowFollower mFollower;
    private final CrashSuspects mSuspects = CrashSuspects.create();
    private final FactExchange<CrashFact> mNews =
            FactExchange.of(CrashFact.MAX_FACTS, f -> crashesOf(f.content()));
    private final CrashWarnings mWarnings;
    private final Map<Long, Row> mKnown = BoundedMap.byInsertion(MAX_KNOWN);
    private final Set<Long> mWriting = new HashSet<>();
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

    /** Holds a term, and the revision of its row. */
    private record Row(QuarantineTerm term, long revision) {}

    /** Creates one that knows nothing yet; terms are told by the clock of the rows' store. */
    Quarantine(Surroundings around, SharedRows rows, RowFollower follower) {
        super(around);
        mRows = rows;
        mFollower = follower;
        mWarnings = new CrashWarnings(rows, follower::storeMillis);
    }

    void start() {
        later(SWEEP_MILLIS + spread(), this::sweep);
    }

    // ---------------------------------------------------------------- use

    /** Returns what to do with a request. */
    public Verdict verdict(long content) {
        if (!isRefusedByRow(content)) {
            return mSuspects.isConvicted(content) ? Verdict.REFUSE : Verdict.SERVE;
        }
        QuarantineTerm term = mKnown.get(content).term();
        boolean isOver = storeMillis().isPresent() && !term.isRunning(storeMillis().getAsLong());
        return isOver ? Verdict.TRY : Verdict.REFUSE;
    }

    /** Returns after how many milliseconds a refused caller should come back. */
    public long backInMillis(long content) {
        long now = storeMillis().orElse(0);
        Row row = mKnown.get(content);
        QuarantineTerm term = row == null ? QuarantineTerm.first(now) : row.term();
        return Math.max(1, term.leftMillis(now));
    }

    /** Asks to send a request once whose term is over; of all routers, one may at a time. */
    public CompletableFuture<Boolean> askToTry(long content) {
        Row row = mKnown.get(content);
        if (row == null || storeMillis().isEmpty()) {
            return CompletableFuture.completedFuture(false); // changed meanwhile
        }
        QuarantineTerm tried = row.term().tried(storeMillis().getAsLong(), link().host());
        return mRows.compareAndSet(key(content), tried.write(), row.revision())
                .handle((now, failure) -> onTrialAsked(content, tried, now, failure));
    }

    private boolean onTrialAsked(
            long content, QuarantineTerm tried, SharedRow row, Throwable failure) {
        if (failure != null) {
            logFailure(content, failure);
            return false;
        }
        boolean granted = row.value().equals(tried.write());
        takeWritten(row, granted);
        Event.always("quarantine_trial")
                .with("content", Hashes.text(content))
                .with("granted", granted)
                .log();
        return granted;
    }

    /** Notes how the trial of a request ended that this router was allowed. */
    public void onTrialEnded(long content, boolean answered) {
        Row row = mKnown.get(content);
        if (row != null && storeMillis().isPresent()) {
            long now = storeMillis().getAsLong();
            write(content, answered ? QuarantineTerm.released() : row.term().doubled(now));
        }
    }

    /** Notes that a request's target ended, as this router saw. */
    public void onCrash(long content, int crash) {
        CrashFact fact = new CrashFact(content, crash);
        if (!isRefusedByRow(content) && mSuspects.take(fact, now())) {
            mNews.add(fact);
            onSuspected(content, true);
        }
    }

    /** Notes that a target has answered a request. */
    public void onAnswered(long content) {
        if (mSuspects.onAnswered(content, now())) {
            mNews.removeIf(f -> f.content() == content);
            mNews.add(CrashFact.answered(content));
        }
    }

    /** Returns whether a request is refused once one more target ends under it. */
    public boolean isLastCrashAllowed(long content) {
        return mSuspects.crashes(content) == CrashSuspects.CRASHES_TO_CONVICT - 1;
    }

    /** Returns how many targets are known to have ended under a request. */
    public int crashesOf(long content) {
        return mKnown.containsKey(content)
                ? CrashSuspects.CRASHES_TO_CONVICT
                : mSuspects.crashes(content);
    }

    /** Returns the refused requests, and for how many milliseconds more. */
    Map<String, Long> dump() {
        Map<String, Long> m = new TreeMap<>();
        long now = storeMillis().orElse(0);
        mKnown.forEach((c, r) -> m.put(Hashes.text(c), r.term().leftMillis(now)));
        return m;
    }

    /** Returns the number of requests that rows refuse. */
    public int refused() {
        return mKnown.size();
    }

    /** Returns the number of requests under which a target has ended, without the refused ones. */
    int suspects() {
        return mSuspects.size();
    }

    private OptionalLong storeMillis() {
        return mFollower.storeMillis();
    }

    // ---------------------------------------------------------------- other routers

    /** Returns what another router should be told. */
    List<CrashFact> news() {
        return mNews.digest();
    }

    /** Takes in what another router has learned. */
    void take(List<CrashFact> facts) {
        for (CrashFact f : facts) {
            if (!isRefusedByRow(f.content()) && mSuspects.take(f, now())) {
                mNews.add(f);
                onSuspected(f.content(), false);
            }
        }
    }

    private void onSuspected(long content, boolean sawIt) {
        if (!mSuspects.isConvicted(content)) {
            if (sawIt && isLastCrashAllowed(content)) {
                mWarnings.write(content, mSuspects.of(content));
            }
            return;
        }
        Event.always("request_convicted")
                .with("content", Hashes.text(content))
                .with("crashes", mSuspects.crashes(content))
                .with("saw_last", sawIt)
                .log();
        long span =
                Math.min(MAX_WRITE_SPREAD_MILLIS, WRITE_SPREAD_MILLIS_A_ROUTER * link().others());
        later(sawIt || span == 0 ? 0 : random().nextLong(span), () -> writeFirst(content));
    }

    private boolean isRefusedByRow(long content) {
        Row row = mKnown.get(content);
        return row != null && !row.term().isReleased();
    }

    // ---------------------------------------------------------------- rows

    private static String key(long content) {
        return ROW + Hashes.text(content);
    }

    /** Takes in a row that changed, if it is one of a refused request. */
    void take(SharedRow row) {
        mWarnings.take(row).forEach(this::takeWarning);
        if (!row.key().startsWith(ROW)) {
            return;
        }
        Optional<Long> content = content(row.key());
        Optional<QuarantineTerm> term = QuarantineTerm.read(row.value());
        if (content.isEmpty() || row.revision() > 0 && term.isEmpty()) {
            Event.of("quarantine_row_malformed").with("row", row.key()).log();
            return;
        }
        if (term.isEmpty()) {
            mKnown.remove(content.get()); // an operator, or a router after its time
        } else {
            mKnown.put(content.get(), new Row(term.get(), row.revision()));
            mNews.removeIf(f -> f.content() == content.get()); // all read the row
        }
        mSuspects.forget(content.get());
        Event.always("quarantine")
                .with("content", row.key().substring(ROW.length()))
                .with("revision", row.revision())
                .with("term_ms", term.map(QuarantineTerm::termMillis).orElse(0L))
                .log();
    }

    /** Takes in what a row tells of; all read the row, so that it is not passed on. */
    private void takeWarning(CrashFact f) {
        if (!isRefusedByRow(f.content()) && mSuspects.take(f, now())) {
            onSuspected(f.content(), false);
        }
    }

    private static Optional<Long> content(String key) {
        try {
            return Optional.of(Long.parseUnsignedLong(key.substring(ROW.length()), 16));
        } catch (NumberFormatException e) {
            return Optional.empty(); // the caller logs the row
        }
    }

    /** Writes the first row of a convicted request, unless another router has. */
    private void writeFirst(long content) {
        if (isStopped() || isRefusedByRow(content) || !mSuspects.isConvicted(content)) {
            return;
        }
        if (storeMillis().isEmpty()) {
            later(pauseAfter(++mWriteFailures), () -> writeFirst(content));
            return;
        }
        if (mKnown.size() >= MAX_ROWS) {
            removeEldest();
        }
        write(content, QuarantineTerm.first(storeMillis().getAsLong()));
    }

    private void removeEldest() {
        long eldest = mKnown.keySet().iterator().next();
        mKnown.remove(eldest);
        remove(eldest);
    }

    private void remove(long content) {
        mRows.remove(key(content))
                .exceptionally(
                        e -> {
                            logFailure(content, e);
                            return null;
                        });
    }

    private void write(long content, QuarantineTerm term) {
        if (!mWriting.add(content)) {
            return;
        }
        long revision = Optional.ofNullable(mKnown.get(content)).map(Row::revision).orElse(0L);
        mRows.compareAndSet(key(content), term.write(), revision)
                .whenComplete((row, failure) -> onWritten(content, term, row, failure));
    }

    private void onWritten(long content, QuarantineTerm term, SharedRow row, Throwable failure) {
        mWriting.remove(content);
        if (failure != null) {
            logFailure(content, failure);
            later(pauseAfter(++mWriteFailures), () -> writeFirst(content));
            return;
        }
        mWriteFailures = 0;
        takeWritten(row, row.value().equals(term.write()));
    }

    /** Takes in the row after a write; another router's row is told by that one. */
    private void takeWritten(SharedRow row, boolean isOwn) {
        if (isOwn) {
            mFollower.onWritten(row);
        } else {
            mFollower.onRead(row);
        }
    }

    private static void logFailure(long content, Throwable e) {
        Event.of("shared_row_not_written")
                .with("row", key(content))
                .with("cause", e.getMessage())
                .log();
    }

    /** Removes the rows that nobody has asked for in a whole term; one router does it for all. */
    private void sweep() {
        if (isStopped()) {
            return;
        }
        later(SWEEP_MILLIS + spread(), this::sweep);
        if (!mFollower.isReader()) {
            return;
        }
        mWarnings.sweep();
        long now = storeMillis().orElse(0);
        for (Map.Entry<Long, Row> e : List.copyOf(mKnown.entrySet())) {
            if (e.getValue().term().isOver(now)) {
                mKnown.remove(e.getKey());
                remove(e.getKey());
            }
        }
    }
}
