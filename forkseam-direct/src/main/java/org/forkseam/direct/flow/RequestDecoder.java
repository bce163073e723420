package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Decodes the requests of a caller. Used on the event loop.
 *
 * <p>One read may hold hundreds of requests; those beyond what the connection takes stay undecoded.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private final BooleanSupplier mMayDecode;
    private int mPartialBytes;
    private int mPartialLines;
    private boolean mDiscarding;

    /**
     * Creates a decoder.
     *
     * @param mayDecode tells whether more may be decoded
     */
    RequestDecoder(HttpDecoderConfig config, BooleanSupplier mayDecode) {
        super(config);
        mMayDecode = mayDecode;
    }

    /** Returns whether bytes were received that are not decoded. */
    boolean hasUndecodedBytes() {
        return internalBuffer().isReadable();
    }

    /**
     * Returns the memory of what is not passed on: undecoded bytes, and the lines of a part of a
     * head or trailer.
     */
    long partialBytes() {
        ByteBuf undecoded = internalBuffer();
        return (undecoded.isReadable() ? undecoded.capacity() : 0)
                + RequestCost.ofPartialHead(mPartialBytes, mPartialLines);
    }

    /** Returns whether lines of a head or trailer are kept whose end has not arrived. */
    boolean hasPartialLines() {
        return mPartialLines > 0;
    }

    /**
     * Drops what is kept of a request, and all bytes that arrive from now on. A connection that is
     * closed is kept until the event loop has handled all others that were ready at the same time.
     */
    void discard(ChannelHandlerContext ctx) throws Exception {
        mDiscarding = true;
        mPartialBytes = 0;
        mPartialLines = 0;
        reset();
        super.decode(ctx, Unpooled.EMPTY_BUFFER, new ArrayList<>()); // applies the reset
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (mDiscarding) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (!mMayDecode.getAsBoolean()) {
            return;
        }
        int start = in.readerIndex();
        super.decode(ctx, in, out);
        mPartialBytes += in.readerIndex() - start;
        if (!out.isEmpty()) {
            mPartialBytes = 0;
            mPartialLines = 0;
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        mPartialLines++;
        return super.splitHeaderName(line, start, length);
    }
}
