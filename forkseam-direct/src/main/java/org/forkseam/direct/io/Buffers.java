package org.forkseam.direct.io;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;

/**
 * Provides the buffer allocator of all sockets. It has a single arena, as one thread does all I/O.
 */
public final class Buffers {
    private static final int PAGE_BYTES = 8192;

    /** Yields chunks of 256 KB. */
    private static final int CHUNK_ORDER = 5;

    private static final ByteBufAllocator ALLOCATOR =
            new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER);

    private Buffers() {}

    /** Returns the allocator. */
    public static ByteBufAllocator allocator() {
        return ALLOCATOR;
    }
}
