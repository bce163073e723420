package org.forkseam.direct.know;

import org.forkseam.core.store.StorePosition;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRowStore;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.Versioned;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Lets no answer of the store count that names an era which cannot be, and writes no row by what it
 * was in an earlier era: its revision may have been given out again to other content.
 */
final class CheckedSharedRows implements SharedRowStore {
    private final SharedRowStore mRows;
    private final StoreEra mEra;

    CheckedSharedRows(SharedRowStore rows, StoreEra era) {
        mRows = rows;
        mEra = era;
    }

    @Override
    public CompletableFuture<Versioned<List<SharedRow>>> readAll() {
        return mRows.readAll().thenApply(r -> CheckedFleetSource.checked(mEra, r));
    }

    @Override
    public CompletableFuture<Versioned<List<SharedRow>>> awaitChanges(
            StorePosition since, long waitMillis) {
        return mRows.awaitChanges(since, waitMillis)
                .thenApply(r -> CheckedFleetSource.checked(mEra, r));
    }

    @Override
    public CompletableFuture<SharedRow> compareAndSet(
            String key, String value, StorePosition expected) {
        boolean mustExist = expected.revision() > 0;
        if (mustExist && expected.era() != mEra.newest()) {
            return CompletableFuture.failedFuture(
                    SourceException.of(key + " is known of era " + expected.era() + " only"));
        }
        return mRows.compareAndSet(key, value, expected)
                .thenApply(row -> written(row, mustExist, expected));
    }

    /** The store may come back while the call is under way: then what was there is not known. */
    private SharedRow written(SharedRow row, boolean mustExist, StorePosition expected) {
        CheckedFleetSource.check(mEra, row.position());
        if (mustExist && !row.position().isOfEraOf(expected)) {
            Event.always("row_written_unseen")
                    .with("row", row.key())
                    .with("expected", expected)
                    .with("now", row.position())
                    .log();
        }
        return row;
    }

    @Override
    public CompletableFuture<Void> put(String key, String value) {
        return mRows.put(key, value);
    }

    @Override
    public CompletableFuture<Void> remove(String key) {
        return mRows.remove(key);
    }
}
