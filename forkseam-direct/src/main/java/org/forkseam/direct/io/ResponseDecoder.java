package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;

import java.util.List;
import java.util.Optional;

/**
 * Decodes the responses on a connection. Used on the event loop.
 *
 * <p>Whether a response has a body depends on its request, which the connection tells. Netty's
 * client codec pairs responses with requests in order, so that a surplus response would shift all
 * that follow. Bytes behind the end of a response are not decoded.
 *
 * <p>A status line where none is due shows that a part of a surplus response precedes the due one;
 * the response is then malformed. The body of the due response may hold any bytes.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /**
     * Maximum number of header lines of a response with its trailers. Each takes some 150 bytes, so
     * that the byte limit of a head does not bound its memory.
     */
    static final int MAX_HEADER_LINES = 256;

    private static final long HEADER_LINE_BYTES = 150;

    private final HttpConnection mConnection;
    private final HeadValidator mHeadValidator = new HeadValidator();
    private final StatusLineFinder mFinder = new StatusLineFinder();
    private boolean mInHead = true;
    private boolean mChunked;
    private int mLengthLines;
    private int mHeaderLines;

    ResponseDecoder(HttpDecoderConfig config, HttpConnection connection) {
        super(config);
        mConnection = connection;
    }

    /** Returns the number of bytes that were received and not decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Returns the memory of undecoded bytes and of the lines of a part of a head or trailer. */
    long keptBytes() {
        ByteBuf undecoded = internalBuffer();
        return (undecoded.isReadable() ? undecoded.capacity() : 0)
                + HEADER_LINE_BYTES * mHeaderLines;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (!mConnection.isActive()) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int start = in.readerIndex();
        super.decode(ctx, in, out);
        Optional<String> fault = findFault(in, start, out);
        if (fault.isPresent()) {
            out.forEach(ReferenceCountUtil::release);
            out.clear();
            HttpMessage invalid = createInvalidMessage();
            invalid.setDecoderResult(
                    DecoderResult.failure(new IllegalArgumentException(fault.get())));
            out.add(invalid);
            return;
        }
        out.forEach(this::onDecoded);
    }

    /**
     * Returns what is wrong with the bytes that were decoded last: lines of a head, or a part of a
     * body.
     */
    private Optional<String> findFault(ByteBuf in, int start, List<Object> out) {
        if (mInHead) {
            return mHeadValidator.validate(in, start, in.readerIndex());
        }
        if (!mConnection.isSkipping() && !mChunked) {
            return Optional.empty();
        }
        if (!mConnection.isSkipping() && hasContent(out)) {
            mFinder.reset();
            return Optional.empty();
        }
        return mFinder.find(in, start, in.readerIndex())
                ? Optional.of("status line within a response")
                : Optional.empty();
    }

    private static boolean hasContent(List<Object> decoded) {
        return decoded.stream()
                .anyMatch(o -> o instanceof HttpContent c && c.content().isReadable());
    }

    private void onDecoded(Object o) {
        if (o instanceof HttpResponse r) {
            mInHead = false;
            mLengthLines = 0;
            mChunked = HttpUtil.isTransferEncodingChunked(r);
            mFinder.reset();
        }
        if (o instanceof LastHttpContent) {
            mInHead = true;
            mHeaderLines = 0;
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        AsciiString name = super.splitHeaderName(line, start, length);
        if (++mHeaderLines > MAX_HEADER_LINES) {
            throw new IllegalArgumentException("more than " + MAX_HEADER_LINES + " header lines");
        }
        // In version 1.0, the decoder uses the first of several lengths and drops the others.
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name) && ++mLengthLines > 1) {
            throw new IllegalArgumentException("several Content-Length lines");
        }
        return name;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage m) {
        HttpResponse r = (HttpResponse) m;
        BodyFraming.validate(r);
        boolean mayHaveBody = mConnection.mayHaveBody(r);
        return super.isContentAlwaysEmpty(m) || !mayHaveBody;
    }
}
