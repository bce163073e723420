package org.forkseam.direct.spi;

import org.forkseam.core.store.StorePosition;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Is where routers keep the little that they share and that must outlast them. Futures complete on
 * the event loop and fail with a {@link SourceException} when no usable answer came.
 *
 * @since 0.2
 */
public interface SharedRowStore {
    /** Reads all rows. */
    CompletableFuture<Versioned<List<SharedRow>>> readAll();

    /** Waits for rows changed since a position; an answer of another era may lack changes. */
    CompletableFuture<Versioned<List<SharedRow>>> awaitChanges(
            StorePosition since, long waitMillis);

    /**
     * Writes a row if it still has the revision given, and returns the row as it then is: the one
     * written, or another router's.
     *
     * @param expected the row's position when read; revision 0 if it must be absent
     */
    CompletableFuture<SharedRow> compareAndSet(String key, String value, StorePosition expected);

    /** Writes a row whatever it holds. */
    CompletableFuture<Void> put(String key, String value);

    /** Removes a row. */
    CompletableFuture<Void> remove(String key);
}
