package org.forkseam.direct.spi;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Store for the origins of streams, in partitions, which survive the end of all routers. Futures
 * complete on the event loop and fail with a {@link SourceException} if there is no usable
 * response.
 *
 * @since 0.7
 */
public interface StreamRecords {
    /** Reads all rows of a partition, by key. */
    CompletableFuture<Map<String, byte[]>> read(int partition);

    /** Writes a row and removes others, at once; rows that are absent are ignored. */
    CompletableFuture<Void> write(int partition, String key, byte[] value, List<String> removed);
}
