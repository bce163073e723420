package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import java.util.Arrays;

/**
 * Collects the requests of one connection. Used on the event loop.
 *
 * <p>The memory of a body grows as it arrives. If there is no room for more, the connection is not
 * read for a while; then the request is refused and the rest of its body discarded, as the caller
 * would not read a response before it. Bytes are copied, since a part of a body would keep the
 * whole buffer into which the socket was read.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {
    /** Callers give up a request that is not read; then it is better tried elsewhere. */
    private static final long MAX_WAIT_MILLIS = 2_000;

    /** Bodies up to this size are counted at the end of a read only. */
    private static final int INITIAL_BYTES = 16 << 10;

    /** Largest part of a body that the decoder passes on. */
    private static final int MAX_PART_BYTES = 8 << 10;

    private static final byte[] EMPTY = {};

    private final CallerConnection mConnection;
    private final RequestDecoder mDecoder;
    private final int mMaxBytes;
    private HttpRequest mHead;
    private long mHeadCost;
    private boolean mChunked;
    private int mExpected;
    private byte[] mBytes = EMPTY;
    private int mLength;
    private boolean mDiscarding;
    private boolean mWaiting;
    private long mWaitsSince;

    /**
     * Creates a reader.
     *
     * @param maxBytes largest body that is not refused
     */
    RequestReader(CallerConnection connection, RequestDecoder decoder, int maxBytes) {
        mConnection = connection;
        mDecoder = decoder;
        mMaxBytes = maxBytes;
    }

    // ---------------------------------------------------------------- state

    /** Returns whether the head of a request has arrived and its end has not. */
    boolean isInBody() {
        return mHead != null || mDiscarding;
    }

    /** Returns whether the rest of a body is discarded. */
    boolean isDiscarding() {
        return mDiscarding;
    }

    /** Returns whether the request waits for memory. */
    boolean isWaiting() {
        return mWaiting;
    }

    /** Returns the memory of what has arrived of a request that is not complete. */
    long partialBytes() {
        return mDecoder.partialBytes() + (mHead == null ? 0 : mHeadCost + mBytes.length);
    }

    // ---------------------------------------------------------------- requests

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (msg instanceof HttpRequest head) {
            begin(head);
        }
        if (msg instanceof HttpContent content) {
            try {
                onContent(content);
            } finally {
                content.release();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        mConnection.onReadComplete();
        ctx.fireChannelReadComplete();
    }

    private void begin(HttpRequest head) {
        mDiscarding = true;
        if (mConnection.isClosing()) {
            return;
        }
        if (head.decoderResult().isFailure()) {
            mConnection.refuseMalformed(head.decoderResult().cause());
            return;
        }
        if (expectsOther(head)) {
            // Whether the caller sends the body nevertheless is not known.
            mConnection.refuseBody(head, HttpResponseStatus.EXPECTATION_FAILED, false);
            return;
        }
        long length = HttpUtil.getContentLength(head, 0L);
        mChunked = HttpUtil.isTransferEncodingChunked(head);
        if (!mChunked && length > mMaxBytes) {
            refuseTooLarge(head);
            return;
        }
        mDiscarding = false;
        mHead = head;
        mHeadCost = RequestCost.ofHead(head);
        mExpected = (int) length;
        if (HttpUtil.is100ContinueExpected(head)) {
            mConnection.onContinueExpected();
        }
        ensureRoom();
    }

    /** Returns whether a request expects what only later versions of HTTP may define. */
    private static boolean expectsOther(HttpRequest head) {
        return expects(head) && !HttpUtil.is100ContinueExpected(head);
    }

    private static boolean expects(HttpRequest head) {
        return HttpVersion.HTTP_1_1.equals(head.protocolVersion())
                && head.headers().contains(HttpHeaderNames.EXPECT);
    }

    private void refuseTooLarge(HttpRequest head) {
        boolean keepAlive = !expects(head) && HttpUtil.isKeepAlive(head);
        mConnection.refuseBody(head, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, keepAlive);
    }

    private void onContent(HttpContent content) {
        if (mHead != null && content.decoderResult().isFailure()) {
            drop();
            mConnection.refuseMalformed(content.decoderResult().cause());
            return;
        }
        if (mHead != null) {
            add(content.content());
        }
        if (content instanceof LastHttpContent) {
            end();
        }
    }

    private void add(ByteBuf part) {
        int n = part.readableBytes();
        if (mLength + n > mMaxBytes) {
            HttpRequest head = mHead;
            drop();
            refuseTooLarge(head);
            return;
        }
        if (mLength + n > mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, mLength + n); // of a caller that waits for memory
        }
        part.readBytes(mBytes, mLength, n);
        mLength += n;
        ensureRoom();
    }

    /** Makes room for the next part of the body, or waits for memory. */
    private void ensureRoom() {
        if (!tryEnsureRoom() && mHead != null) {
            startWaiting();
        }
    }

    private boolean tryEnsureRoom() {
        int limit = mChunked ? mMaxBytes : mExpected;
        int needed = Math.min(limit, mLength + MAX_PART_BYTES);
        if (mBytes.length >= needed) {
            return true;
        }
        int wanted = Math.max(INITIAL_BYTES, Math.max(needed, 2 * mBytes.length));
        int capacity = Math.min(limit, wanted);
        if (capacity > INITIAL_BYTES && !mConnection.holdMore(capacity - mBytes.length)) {
            return false;
        }
        mBytes = Arrays.copyOf(mBytes, capacity);
        return true;
    }

    private void end() {
        if (mDiscarding) {
            mDiscarding = false;
            mConnection.onUnreadEnd();
            return;
        }
        if (mHead == null) {
            return;
        }
        HttpRequest head = mHead;
        byte[] body = mLength == mBytes.length ? mBytes : Arrays.copyOf(mBytes, mLength);
        long cost = mHeadCost + body.length;
        clear();
        HttpUtil.setTransferEncodingChunked(head, false);
        head.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        mConnection.enqueue(head, body, cost);
    }

    private void clear() {
        mHead = null;
        mBytes = EMPTY;
        mLength = 0;
        stopWaiting();
    }

    /** Drops what has arrived of the request, and discards the rest. */
    private void drop() {
        clear();
        mDiscarding = true;
    }

    // ---------------------------------------------------------------- memory

    private void startWaiting() {
        if (!mWaiting) {
            mWaiting = true;
            mWaitsSince = mConnection.now();
            mConnection.onWaiting(true);
        }
    }

    private void stopWaiting() {
        if (mWaiting) {
            mWaiting = false;
            mConnection.onWaiting(false);
        }
    }

    /** Reads on if there is memory by now; refuses the request after a while. */
    void retry() {
        if (!mWaiting) {
            return;
        }
        if (tryEnsureRoom()) {
            stopWaiting();
        } else if (mConnection.now() - mWaitsSince > MAX_WAIT_MILLIS) {
            giveUp();
        }
    }

    /**
     * Releases the memory of a request that is not complete: refuses it if its head is known, else
     * ends the input.
     */
    void giveUp() {
        boolean partialLines = mDecoder.hasPartialLines();
        if (mHead != null) {
            HttpRequest head = mHead;
            drop();
            mConnection.refuseForMemory(head);
        }
        if (partialLines || !mDiscarding && mDecoder.partialBytes() > 0) {
            mConnection.endInput();
        }
    }

    /** Releases all memory when the connection has closed. */
    void release() {
        clear();
    }
}
