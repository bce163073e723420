package org.forkseam.direct.spi;

import org.forkseam.core.store.StorePosition;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Store for small state that all routers share and that survives their restarts. Futures complete
 * on the event loop and fail with a {@link SourceException} if there is no usable response.
 *
 * @since 0.2
 */
public interface SharedRows {
    /** Reads all rows. */
    CompletableFuture<Versioned<List<SharedRow>>> readAll();

    /** Waits for rows changed after a position. A result of another era may lack changes. */
    CompletableFuture<Versioned<List<SharedRow>>> awaitChanges(
            StorePosition since, long waitMillis);

    /**
     * Writes a row if its position is unchanged. Returns the current row, which is either the one
     * written or another router's.
     *
     * @param expected the row's position when read; revision 0 if it must be absent
     */
    CompletableFuture<SharedRow> compareAndSet(String key, String value, StorePosition expected);

    /** Writes a row unconditionally. */
    CompletableFuture<Void> put(String key, String value);

    /** Removes a row. */
    CompletableFuture<Void> remove(String key);
}
