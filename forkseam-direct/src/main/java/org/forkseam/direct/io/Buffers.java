package org.forkseam.direct.io;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;

/** Holds the allocator of all sockets: one small arena, since one thread does all the work. */
public final class Buffers {
    private static final int PAGE_BYTES = 8192;

    /** Chunks of 256 KB: a router's sockets rarely hold more at a time. */
    private static final int CHUNK_ORDER = 5;

    private static final ByteBufAllocator ALLOCATOR =
            new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER);

    private Buffers() {}

    /** Returns the allocator. */
    public static ByteBufAllocator allocator() {
        return ALLOCATOR;
    }
}
