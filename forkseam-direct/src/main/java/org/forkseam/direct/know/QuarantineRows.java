package org.forkseam.direct.know;

import org.forkseam.core.crash.Fingerprint;
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
 * Reads, writes and caches the quarantine rows, one per request content. Confined to the event
 * loop.
 */
final class QuarantineRows {
    private static final RowKeyPrefix ROW_KEY = new RowKeyPrefix("quarantine/");

    /**
     * Bounds the rows in the store, of about 120 bytes each, if many different requests crash
     * targets.
     */
    private static final int MAX_ROWS = 256;

    /** Cached rows; several routers may exceed the bound in the store by concurrent writes. */
    private static final int MAX_CACHED_ROWS = 2 * MAX_ROWS;

    private final SharedRows mRows;
    private final RowFollower mRowFollower;
    private final Map<Long, Row> mCache = BoundedMap.byInsertion(MAX_CACHED_ROWS);
    private final Set<Long> mPendingWrites = new HashSet<>();

    /**
     * A term and the position of its row.
     *
     * @param releasePending whether this router has released the request and the row does not yet
     *     show it
     */
    private record Row(QuarantineTerm term, StorePosition position, boolean releasePending) {}

    /**
     * Change of a row.
     *
     * @param content hash of the request's content
     * @param term empty if the row was removed
     */
    record Change(long content, Optional<QuarantineTerm> term) {}

    QuarantineRows(SharedRows rows, RowFollower follower) {
        mRows = rows;
        mRowFollower = follower;
    }

    // ---------------------------------------------------------------- cache

    /** Returns the term of a request that is not released; empty if it has none. */
    Optional<QuarantineTerm> term(long content) {
        return Optional.ofNullable(mCache.get(content)).map(Row::term).filter(t -> !t.isReleased());
    }

    /** Returns the quarantined prompt parts. */
    List<Long> parts() {
        return mCache.keySet().stream()
                .filter(f -> Fingerprint.isPart(f) && term(f).isPresent())
                .toList();
    }

    /** Releases a request on this router until its row changes, before the release is written. */
    void releaseLocally(long content) {
        mCache.computeIfPresent(
                content, (c, row) -> new Row(QuarantineTerm.released(), row.position(), true));
    }

    /** Returns whether a request is released on this router but its row still refuses it. */
    boolean isReleasePending(long content) {
        Row row = mCache.get(content);
        return row != null && row.releasePending();
    }

    int size() {
        return mCache.size();
    }

    /** Returns the refused requests with their remaining time in milliseconds. */
    Map<String, Long> dump(long storeMillis) {
        Map<String, Long> m = new TreeMap<>();
        mCache.forEach((c, r) -> m.put(Hashes.toHex(c), r.term().remainingMillis(storeMillis)));
        return m;
    }

    /**
     * Applies a changed row; returns empty if it is of another kind, malformed or already known.
     */
    Optional<Change> apply(SharedRow row) {
        if (!ROW_KEY.matches(row.key())) {
            return Optional.empty();
        }
        Optional<Long> content = ROW_KEY.contentOf(row.key());
        Optional<QuarantineTerm> term = QuarantineTerm.parse(row.value());
        if (content.isEmpty() || row.exists() && term.isEmpty()) {
            Event.of("quarantine_row_malformed").with("row", row.key()).log();
            return Optional.empty();
        }
        if (isCached(content.get(), row.position())) {
            return Optional.empty(); // a repeated row must not undo a local release
        }
        if (term.isEmpty()) {
            mCache.remove(content.get()); // by an operator, or by a router after its expiry
        } else {
            mCache.put(content.get(), new Row(term.get(), row.position(), false));
        }
        return Optional.of(new Change(content.get(), term));
    }

    private boolean isCached(long content, StorePosition position) {
        Row known = mCache.get(content);
        return known != null && known.position().equals(position);
    }

    // ---------------------------------------------------------------- writing

    /**
     * Writes a term unless another router has changed the row; the future fails if the store gave
     * no usable response. At most one write per content is in flight.
     *
     * @return whether the row now holds this term
     */
    CompletableFuture<Boolean> write(long content, QuarantineTerm term) {
        if (!mPendingWrites.add(content)) {
            return CompletableFuture.completedFuture(false);
        }
        evictIfFull(content);
        StorePosition expected = mRowFollower.position(ROW_KEY.keyOf(content));
        return mRows.compareAndSet(ROW_KEY.keyOf(content), term.format(), expected)
                .whenComplete((row, failure) -> mPendingWrites.remove(content))
                .whenComplete((row, failure) -> logFailure(content, failure))
                .thenApply(row -> applyWritten(row, row.value().equals(term.format())));
    }

    /**
     * Applies the row after a write. Only an own row is broadcast; its writer broadcasts another
     * one.
     */
    private boolean applyWritten(SharedRow row, boolean isOwn) {
        if (isOwn) {
            mRowFollower.onWritten(row);
        } else {
            mRowFollower.onRead(row);
        }
        return isOwn;
    }

    private void evictIfFull(long content) {
        if (mCache.size() >= MAX_ROWS && !mCache.containsKey(content)) {
            remove(mCache.keySet().iterator().next());
        }
    }

    private void remove(long content) {
        mCache.remove(content);
        mRows.remove(ROW_KEY.keyOf(content))
                .exceptionally(e -> RowFollower.logWriteFailure(ROW_KEY.keyOf(content), e));
    }

    /** Removes the rows whose terms have expired. */
    void sweep(long storeMillis) {
        for (Map.Entry<Long, Row> e : List.copyOf(mCache.entrySet())) {
            if (e.getValue().term().isExpired(storeMillis)) {
                remove(e.getKey());
            }
        }
    }

    private static void logFailure(long content, Throwable failure) {
        if (failure != null) {
            RowFollower.logWriteFailure(ROW_KEY.keyOf(content), failure);
        }
    }
}
