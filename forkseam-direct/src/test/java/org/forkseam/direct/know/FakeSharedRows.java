package org.forkseam.direct.know;

import org.forkseam.core.store.StorePosition;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.Versioned;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** In-memory store of shared rows, for several routers. Thread-safe. */
final class FakeSharedRows implements SharedRows {
    private final Map<String, SharedRow> mAll = new ConcurrentSkipListMap<>();
    private final AtomicLong mRevision = new AtomicLong(1);
    private volatile boolean mUnavailable;
    private final AtomicInteger mWrites = new AtomicInteger();
    private volatile Consumer<SharedRow> mListener = r -> {};

    private StorePosition next() {
        return StorePosition.of(0, mRevision.incrementAndGet());
    }

    private <T> CompletableFuture<T> reply(Callable<T> call) {
        if (mUnavailable) {
            return CompletableFuture.failedFuture(SourceException.of("away"));
        }
        try {
            return CompletableFuture.completedFuture(call.call());
        } catch (Exception e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    @Override
    public CompletableFuture<Versioned<List<SharedRow>>> readAll() {
        return reply(
                () ->
                        new Versioned<>(
                                StorePosition.of(0, mRevision.get()),
                                0,
                                List.copyOf(mAll.values())));
    }

    @Override
    public CompletableFuture<Versioned<List<SharedRow>>> awaitChanges(
            StorePosition since, long wait) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<SharedRow> compareAndSet(
            String key, String value, StorePosition expected) {
        mWrites.incrementAndGet();
        return reply(
                () -> {
                    SharedRow now = mAll.getOrDefault(key, SharedRow.absent(key, 0));
                    if (!now.position().equals(expected)) {
                        return now;
                    }
                    SharedRow next = new SharedRow(key, value, next());
                    mAll.put(key, next);
                    return next;
                });
    }

    @Override
    public CompletableFuture<Void> put(String key, String value) {
        SharedRow row = new SharedRow(key, value, next());
        mAll.put(key, row);
        mListener.accept(row);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> remove(String key) {
        return reply(
                () -> {
                    mAll.remove(key);
                    return null;
                });
    }

    Map<String, SharedRow> all() {
        return mAll;
    }

    /** Returns the number of compare-and-set calls. */
    int writes() {
        return mWrites.get();
    }

    void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    /** Sets the listener of rows that are put. */
    void setListener(Consumer<SharedRow> listener) {
        mListener = listener;
    }
}
