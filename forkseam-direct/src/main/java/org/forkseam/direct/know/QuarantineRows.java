package org.forkseam.direct.know;

import org.forkseam.core.crash.QuarantineTerm;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Keeps the rows of refused requests, a row a content, as all routers know them. Used on the event
 * loop.
 */
final class QuarantineRows {
    private static final ContentKey ROW = new ContentKey("quarantine/");

    /**
     * Rows written at most, some 120 bytes each, so that a flood of different requests fills
     * neither the store nor the routers; each of them has ended three targets.
     */
    private static final int MAX_ROWS = 256;

    /** Rows remembered: several routers may write the last few at once. */
    private static final int MAX_KNOWN = 2 * MAX_ROWS;

    private final SharedRows mRows;
    private final RowFollower mFollower;
    private final Map<Long, Row> mKnown = BoundedMap.byInsertion(MAX_KNOWN);
    private final Set<Long> mWriting = new HashSet<>();

    /**
     * Holds a term, and where its row was written.
     *
     * @param ahead whether this router has released the request, and the row does not say so yet
     */
    private record Row(QuarantineTerm term, StorePosition position, boolean ahead) {}

    /**
     * Says what a row that changed holds.
     *
     * @param content hash of what the request asks for
     * @param term empty if the row vanished
     */
    record Change(long content, Optional<QuarantineTerm> term) {}

    QuarantineRows(SharedRows rows, RowFollower follower) {
        mRows = rows;
        mFollower = follower;
    }

    // ---------------------------------------------------------------- what is known

    /** Returns what holds for a request that a row names and has not released. */
    Optional<QuarantineTerm> term(long content) {
        return Optional.ofNullable(mKnown.get(content)).map(Row::term).filter(t -> !t.isReleased());
    }

    /**
     * Lets a request be served at once, before the row that releases it is written: until its row
     * changes.
     */
    void releaseHere(long content) {
        mKnown.computeIfPresent(
                content, (c, row) -> new Row(QuarantineTerm.released(), row.position(), true));
    }

    /** Returns whether a request is served here although its row still refuses it. */
    boolean isReleasedHereOnly(long content) {
        Row row = mKnown.get(content);
        return row != null && row.ahead();
    }

    /** Returns the number of rows known. */
    int size() {
        return mKnown.size();
    }

    /** Returns the refused requests, and for how many milliseconds more. */
    Map<String, Long> dump(long storeMillis) {
        Map<String, Long> m = new TreeMap<>();
        mKnown.forEach((c, r) -> m.put(Hashes.toHex(c), r.term().leftMillis(storeMillis)));
        return m;
    }

    /** Takes in a row that changed; empty if it is none of a refused request, or malformed. */
    Optional<Change> take(SharedRow row) {
        if (!ROW.isOf(row.key())) {
            return Optional.empty();
        }
        Optional<Long> content = ROW.content(row.key());
        Optional<QuarantineTerm> term = QuarantineTerm.read(row.value());
        if (content.isEmpty() || row.exists() && term.isEmpty()) {
            Event.of("quarantine_row_malformed").with("row", row.key()).log();
            return Optional.empty();
        }
        if (isKnown(content.get(), row.position())) {
            return Optional.empty(); // told once more, and perhaps released here meanwhile
        }
        if (term.isEmpty()) {
            mKnown.remove(content.get()); // by an operator, or by a router after its time
        } else {
            mKnown.put(content.get(), new Row(term.get(), row.position(), false));
        }
        return Optional.of(new Change(content.get(), term));
    }

    private boolean isKnown(long content, StorePosition position) {
        Row known = mKnown.get(content);
        return known != null && known.position().equals(position);
    }

    // ---------------------------------------------------------------- writing

    /**
     * Writes a term unless another router has written meanwhile; fails if no usable answer came.
     * One write of a content is under way at a time.
     *
     * @return whether the row holds this term now
     */
    CompletableFuture<Boolean> write(long content, QuarantineTerm term) {
        if (!mWriting.add(content)) {
            return CompletableFuture.completedFuture(false);
        }
        makeRoom(content);
        StorePosition expected = mFollower.position(ROW.of(content));
        return mRows.compareAndSet(ROW.of(content), term.write(), expected)
                .whenComplete((row, failure) -> mWriting.remove(content))
                .whenComplete((row, failure) -> logFailure(content, failure))
                .thenApply(row -> takeWritten(row, row.value().equals(term.write())));
    }

    /** Takes in the row after a write; another router's row is told by that one. */
    private boolean takeWritten(SharedRow row, boolean isOwn) {
        if (isOwn) {
            mFollower.onWritten(row);
        } else {
            mFollower.onRead(row);
        }
        return isOwn;
    }

    private void makeRoom(long content) {
        if (mKnown.size() >= MAX_ROWS && !mKnown.containsKey(content)) {
            remove(mKnown.keySet().iterator().next());
        }
    }

    private void remove(long content) {
        mKnown.remove(content);
        mRows.remove(ROW.of(content))
                .exceptionally(e -> RowFollower.logNotWritten(ROW.of(content), e));
    }

    /** Removes the rows that nobody has asked for in a whole term. */
    void sweep(long storeMillis) {
        for (Map.Entry<Long, Row> e : List.copyOf(mKnown.entrySet())) {
            if (e.getValue().term().isOver(storeMillis)) {
                remove(e.getKey());
            }
        }
    }

    private static void logFailure(long content, Throwable failure) {
        if (failure != null) {
            RowFollower.logNotWritten(ROW.of(content), failure);
        }
    }
}
