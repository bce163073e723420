package org.forkseam.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Transactional key-value table service of the platform.
 *
 * <p>Reads without a response fail with {@link PlatformException}; the future of a transaction
 * never fails but may yield {@link TxnResult.Unknown}. Futures complete on the caller's event loop.
 *
 * @since 0.1
 */
public interface TableService {
    /** Reads a row. */
    CompletableFuture<Optional<Row>> get(String key);

    /**
     * Reads the rows whose keys start with {@code prefix} and follow {@code after}, sorted by key.
     *
     * @param prefix key prefix
     * @param after last key of the previous page, or empty
     * @param limit maximum number of rows
     */
    CompletableFuture<List<Row>> scan(String prefix, String after, int limit);

    /** Applies all writes atomically, or none. */
    CompletableFuture<TxnResult> transact(List<Write> writes);
}
