package org.forkseam.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Is the platform's transactional table service.
 *
 * <p>Reads that get no answer fail with {@link PlatformException}; a transaction never fails, it
 * may end in {@link TxnResult.Unknown}. Futures complete on the event loop of the caller.
 *
 * @since 0.1
 */
public interface TableService {
    /** Reads a row. */
    CompletableFuture<Optional<Row>> get(String key);

    /**
     * Reads the rows whose keys start with the prefix and come after {@code after}, sorted by key.
     *
     * @param prefix what the keys start with
     * @param after the last key of the scan before, or empty
     * @param limit rows at most
     */
    CompletableFuture<List<Row>> scan(String prefix, String after, int limit);

    /** Writes all or nothing. */
    CompletableFuture<TxnResult> transact(List<Write> writes);
}
