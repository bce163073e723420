package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

import java.util.Arrays;
import java.util.Optional;

/**
 * Reads large request bodies of one connection into memory that is bounded over all connections.
 * Used on the event loop.
 *
 * <p>The connection is not read while a body waits for memory; a body that waits for too long is
 * refused and discarded. Bytes are copied as they arrive, since a part of a body would keep the
 * whole buffer into which the socket was read. Small bodies pass unchanged.
 */
final class BodyReader extends ChannelInboundHandlerAdapter {
    /** Callers give up a request that is not read; then it is better tried elsewhere. */
    private static final long MAX_WAIT_MILLIS = 2_000;

    private static final int INITIAL_BYTES = 16 << 10;
    private static final byte[] EMPTY = {};

    private final RouterContext mContext;
    private final CallerConnection mConnection;
    private final int mMaxBytes;
    private ChannelHandlerContext mChannel;
    private Optional<RequestBodies.Reservation> mReservation = Optional.empty();
    private HttpRequest mHead;
    private byte[] mBytes = EMPTY;
    private int mLength;
    private int mExpected;
    private boolean mReading;
    private boolean mDiscarding;

    /**
     * Creates a reader.
     *
     * @param maxBytes size from which a body is rejected by the next handler
     */
    BodyReader(RouterContext context, CallerConnection connection, int maxBytes) {
        mContext = context;
        mConnection = connection;
        mMaxBytes = maxBytes;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mChannel = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (msg instanceof HttpRequest head && isLarge(head)) {
            begin(head);
            return;
        }
        if (!mReading || !(msg instanceof HttpContent content)) {
            ctx.fireChannelRead(msg);
            return;
        }
        try {
            onContent(content);
        } finally {
            content.release();
        }
    }

    /** Returns whether the body is bounded; one without a length may have any. */
    private boolean isLarge(HttpRequest head) {
        if (head.decoderResult().isFailure() || head instanceof HttpContent) {
            return false;
        }
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return true;
        }
        long length = HttpUtil.getContentLength(head, 0L);
        return length >= RequestBodies.MIN_TRACKED_BYTES && length <= mMaxBytes;
    }

    private void begin(HttpRequest head) {
        mHead = head;
        mReading = true;
        mDiscarding = false;
        if (HttpUtil.isTransferEncodingChunked(head)) {
            mExpected = 0;
            passHead(); // memory is reserved when the body turns out to be large
            return;
        }
        mExpected = (int) HttpUtil.getContentLength(head, 0L);
        reserve(mExpected);
    }

    private void reserve(long bytes) {
        mReservation = Optional.of(mContext.requestBodies().reserve(bytes, this::onAdmitted));
        if (!mReservation.get().isAdmitted()) {
            RequestBodies.Reservation waiting = mReservation.get();
            mConnection.setBodyWaits(true);
            mContext.readBarrier().schedule(MAX_WAIT_MILLIS, () -> onWaited(waiting));
        }
    }

    private void onAdmitted() {
        passHead();
        mConnection.setBodyWaits(false);
    }

    private void passHead() {
        if (mHead != null) {
            HttpRequest head = mHead;
            mHead = null;
            pass(head);
        }
    }

    private void pass(Object msg) {
        mChannel.fireChannelRead(msg);
    }

    /** Refuses the body if it still waits; a chunked one, whose head was passed on, waits on. */
    private void onWaited(RequestBodies.Reservation r) {
        boolean waits = mReservation.filter(x -> x == r).isPresent() && !r.isAdmitted();
        if (!waits || mHead == null || !mConnection.refuseUnread(mHead)) {
            return;
        }
        mHead = null;
        mDiscarding = true;
        clear();
        release();
        mConnection.setBodyWaits(false);
    }

    private void onContent(HttpContent content) {
        if (!mDiscarding) {
            add(content.content());
        }
        if (content instanceof LastHttpContent last) {
            end(last);
        }
    }

    private void add(ByteBuf bytes) {
        int n = bytes.readableBytes();
        if (mLength + n > mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, capacity(mLength + n));
        }
        bytes.readBytes(mBytes, mLength, n);
        mLength += n;
        if (mReservation.isEmpty() && mLength >= RequestBodies.MIN_TRACKED_BYTES) {
            reserve(mMaxBytes);
        }
        if (mLength > mMaxBytes) {
            mReading = false; // rejected by the next handler, which discards the rest
            pass(new DefaultHttpContent(take()));
        }
    }

    private int capacity(int atLeast) {
        boolean admitted = mReservation.filter(RequestBodies.Reservation::isAdmitted).isPresent();
        int wanted = admitted ? Math.max(mExpected, 2 * mBytes.length) : INITIAL_BYTES;
        return Math.max(atLeast, Math.min(wanted, mMaxBytes));
    }

    private void end(LastHttpContent last) {
        if (!mReading) {
            return;
        }
        mReading = false;
        if (mDiscarding) {
            mConnection.onUnreadEnd();
            return;
        }
        pass(last.replace(take()));
    }

    private ByteBuf take() {
        byte[] bytes = mLength == mBytes.length ? mBytes : Arrays.copyOf(mBytes, mLength);
        clear();
        return Unpooled.wrappedBuffer(bytes);
    }

    private void clear() {
        mBytes = EMPTY;
        mLength = 0;
    }

    /** Returns the memory of the body that was read last; the caller releases it. */
    Optional<RequestBodies.Reservation> takeReservation() {
        Optional<RequestBodies.Reservation> r = mReservation;
        mReservation = Optional.empty();
        return r;
    }

    /** Releases the memory of a body that is being read. */
    void release() {
        takeReservation().ifPresent(RequestBodies.Reservation::release);
    }
}
