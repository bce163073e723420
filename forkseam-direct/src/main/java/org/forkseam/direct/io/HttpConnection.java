package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import java.util.function.Predicate;

/**
 * A connection to an HTTP server that carries one exchange at a time. Used on the event loop.
 *
 * <p>A response that belongs to another request is skipped, and the connection is not reused. Bytes
 * received without an active exchange close the connection, as do bytes behind a response in the
 * same read; that response is complete.
 *
 * @since 0.2
 */
public final class HttpConnection extends ChannelInboundHandlerAdapter {
    private final ConnectionPool mPool;
    private final EarlierMethods mEarlierMethods = new EarlierMethods();
    private final RecentIds mRequestIds = new RecentIds();
    private Channel mChannel;
    private ResponseDecoder mDecoder;
    private ResponseListener mListener;
    private Predicate<HttpResponse> mMatchesRequest;
    private ChannelFuture mWritten;
    private HttpMethod mMethod = HttpMethod.GET;
    private boolean mDue;
    private boolean mInResponse;
    private boolean mSkipping;
    private boolean mSelfDelimited;
    private boolean mEndedByClose;
    private boolean mReusable = true;
    private int mExchanges;
    private long mIdleSince;
    private long mMaxIdleMillis = Long.MAX_VALUE;

    HttpConnection(ConnectionPool pool) {
        mPool = pool;
    }

    void setDecoder(ResponseDecoder decoder) {
        mDecoder = decoder;
    }

    // ---------------------------------------------------------------- use

    /**
     * Sends a request; the listener receives the response.
     *
     * @param matchesRequest tests whether a response head belongs to the request
     */
    public void send(
            FullHttpRequest request,
            Predicate<HttpResponse> matchesRequest,
            ResponseListener listener) {
        mListener = listener;
        mMatchesRequest = matchesRequest;
        if (mExchanges > 0) {
            mEarlierMethods.add(mMethod);
        }
        mMethod = request.method();
        mInResponse = false;
        mSkipping = false;
        mExchanges++;
        mWritten = mChannel.writeAndFlush(request);
    }

    /** Records the id of the request that is sent next. */
    public void addRequestId(String id) {
        mRequestIds.add(id);
    }

    /** Returns whether one of the last requests on this connection had the given id. */
    public boolean hasCarried(String requestId) {
        return mRequestIds.contains(requestId);
    }

    /** Returns whether no response to an earlier request can arrive. */
    public boolean isFirstExchange() {
        return mExchanges == 1;
    }

    /** Aborts the exchange and closes the connection without calling the listener. */
    public void abort() {
        mListener = null;
        close();
    }

    /** Returns a connection to the pool on which nothing was sent. */
    public void release() {
        mPool.release(this, true);
    }

    /** Pauses or resumes reading, to apply backpressure to the server. */
    public void setAutoRead(boolean autoRead) {
        mChannel.config().setAutoRead(autoRead);
    }

    /** Returns the memory of received bytes that are no part of a response yet. */
    public long undecodedBytes() {
        return mDecoder.keptBytes();
    }

    /** Returns whether the last response ended because the server closed the connection. */
    public boolean hasEndedByClose() {
        return mEndedByClose;
    }

    /** Limits how long the connection may be idle. */
    public void limitIdleMillis(long millis) {
        mMaxIdleMillis = Math.min(mMaxIdleMillis, millis);
    }

    /** Returns whether a request can be sent. */
    public boolean isUsable() {
        return mReusable && mChannel.isActive();
    }

    /** Marks the connection as idle and resumes reading. */
    void onIdle(long nowMillis) {
        mIdleSince = nowMillis;
        mChannel.config().setAutoRead(true);
    }

    long idleMillis(long nowMillis) {
        return nowMillis - mIdleSince;
    }

    long maxIdleMillis() {
        return mMaxIdleMillis;
    }

    /** Returns whether a response is due. */
    boolean isActive() {
        return mListener != null;
    }

    /** Returns whether the current response is skipped. */
    boolean isSkipping() {
        return mSkipping;
    }

    /**
     * Receives a head before its body is decoded. Returns whether the response may have a body, by
     * the method of its request.
     *
     * @throws IllegalArgumentException if it is not known which request it belongs to
     */
    boolean mayHaveBody(HttpResponse r) {
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return false;
        }
        if (r.status().code() == HttpResponseStatus.NO_CONTENT.code()
                && BodyFraming.announcesBody(r)) {
            mReusable = false; // the body would be read as the next response
        }
        mDue = mMatchesRequest.test(r);
        return mDue ? !isHead() : mEarlierMethods.responseHasBody();
    }

    private boolean isHead() {
        return HttpMethod.HEAD.equals(mMethod);
    }

    /** Closes the connection, since bytes were received while no response was due. */
    void onBytesOutside(int bytes) {
        if (mReusable) {
            mPool.onSurplus(SurplusKind.OUTSIDE_EXCHANGE, bytes, mExchanges);
        }
        close();
    }

    void close() {
        mReusable = false;
        if (mChannel != null) {
            mChannel.close();
        }
    }

    // ---------------------------------------------------------------- channel events

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mChannel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            onObject((HttpObject) msg);
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (mListener != null) {
            mListener.onReadComplete();
        }
        ctx.fireChannelReadComplete();
    }

    private void onObject(HttpObject o) {
        if (mListener == null) {
            close(); // data without an active request
            return;
        }
        if (o.decoderResult().isFailure()) {
            Throwable cause = o.decoderResult().cause();
            boolean closed = cause instanceof PrematureChannelClosureException;
            fail(
                    closed ? ExchangeFailure.CLOSED : ExchangeFailure.MALFORMED,
                    String.valueOf(cause));
            return;
        }
        if (o instanceof HttpResponse r) {
            onResponse(r);
        }
        if (o instanceof HttpContent c) {
            onContent(c);
        }
    }

    private void onResponse(HttpResponse r) {
        mInResponse = true;
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mSkipping = true;
            return;
        }
        if (!mDue) {
            mSkipping = true;
            mReusable = false;
            mPool.onSurplus(SurplusKind.OTHER_REQUEST, 0, mExchanges);
            return;
        }
        mSelfDelimited = isHead() || isSelfDelimited(r);
        if (!HttpUtil.isKeepAlive(r) || !mSelfDelimited) {
            mReusable = false;
        }
        mListener.onHead(r);
    }

    /** Returns whether a response marks its own end, rather than ending with the connection. */
    public static boolean isSelfDelimited(HttpResponse r) {
        return HttpUtil.isTransferEncodingChunked(r)
                || HttpUtil.isContentLengthSet(r)
                || r.status().code() == 204
                || r.status().code() == 304;
    }

    private void onContent(HttpContent c) {
        boolean last = c instanceof LastHttpContent;
        if (mSkipping) {
            mSkipping = !last;
            mInResponse = !last;
            return;
        }
        ByteBuf bytes = c.content();
        if (bytes.isReadable()) {
            mListener.onBody(bytes);
        }
        if (last && mListener != null) {
            complete();
        }
    }

    private void complete() {
        // If the response came before the request was fully written, the connection is not
        // reusable.
        boolean written = mWritten.isDone() && mWritten.isSuccess();
        if (!written && !mSelfDelimited) {
            // A reset may show as a failed write only, after which the codec ends the response.
            fail(ExchangeFailure.RESET, "connection closed before the request was written");
            return;
        }
        ResponseListener l = mListener;
        mListener = null;
        mInResponse = false;
        mEndedByClose = !mSelfDelimited && !mChannel.isActive();
        int bytesBehind = mDecoder.undecodedBytes();
        if (bytesBehind > 0) {
            mPool.onSurplus(SurplusKind.BEHIND_RESPONSE, bytesBehind, mExchanges);
        }
        mPool.release(this, written && bytesBehind == 0);
        l.onComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(ExchangeFailure.RESET, String.valueOf(cause.getMessage()));
        close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mReusable = false;
        fail(
                ExchangeFailure.CLOSED,
                mInResponse
                        ? "connection closed during the response"
                        : "connection closed before the response");
        mPool.onClosed(this);
    }

    private void fail(ExchangeFailure failure, String detail) {
        ResponseListener l = mListener;
        mListener = null;
        close();
        if (l != null) {
            l.onExchangeFailed(failure, detail);
        }
    }
}
