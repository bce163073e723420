package org.forkseam.direct.know;

import org.forkseam.core.store.StorePosition;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.Versioned;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Rejects responses of the store whose era is implausible, and conditional writes that expect a
 * revision of an earlier era: the store may have reused that revision for other content. Confined
 * to the event loop.
 */
final class EraCheckedSharedRows implements SharedRows {
    private final SharedRows mRows;
    private final StoreEra mEra;

    EraCheckedSharedRows(SharedRows rows, StoreEra era) {
        mRows = rows;
        mEra = era;
    }

    @Override
    public CompletableFuture<Versioned<List<SharedRow>>> readAll() {
        return mRows.readAll().thenApply(r -> EraCheckedFleetSource.checked(mEra, r));
    }

    @Override
    public CompletableFuture<Versioned<List<SharedRow>>> awaitChanges(
            StorePosition since, long waitMillis) {
        return mRows.awaitChanges(since, waitMillis)
                .thenApply(r -> EraCheckedFleetSource.checked(mEra, r));
    }

    @Override
    public CompletableFuture<SharedRow> compareAndSet(
            String key, String value, StorePosition expected) {
        boolean mustExist = expected.revision() > 0;
        if (mustExist && expected.era() != mEra.newest()) {
            return CompletableFuture.failedFuture(
                    SourceException.of(
                            key
                                    + " not written: the expected revision is from era "
                                    + expected.era()
                                    + ", which has ended"));
        }
        return mRows.compareAndSet(key, value, expected)
                .thenApply(row -> verifyWritten(row, mustExist, expected));
    }

    /** Logs a write during which the store was restored: the value that it replaced is unknown. */
    private SharedRow verifyWritten(SharedRow row, boolean mustExist, StorePosition expected) {
        EraCheckedFleetSource.check(mEra, row.position());
        if (mustExist && !row.position().isSameEraAs(expected)) {
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
