package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.direct.io.ChunkEncoder;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A connection from a caller: reads complete requests one after another and writes their responses.
 * Used on the event loop.
 *
 * <p>If the connection closes, its active request is cancelled.
 */
final class CallerConnection extends ChannelDuplexHandler implements ResponseSink {
    /** Maximum number of pipelined requests; reading pauses when it is reached. */
    private static final int MAX_QUEUED = 16;

    private final RouterContext mContext;
    private final Deque<CallerRequest> mQueue = new ArrayDeque<>();
    private ChannelHandlerContext mChannel;
    private ChannelHandlerContext mCodec;
    private RequestFlow mFlow;
    private boolean mKeepAlive = true;
    private boolean mClosing;
    private boolean mBodiless;
    private long mLastUse;
    private long mRequestStartedAt;
    private Arrival mArrival;

    /**
     * Creates a connection.
     *
     * @param arrival arrival of the connection and its first request
     */
    CallerConnection(RouterContext context, Arrival arrival) {
        mContext = context;
        mLastUse = context.now();
        mArrival = arrival;
    }

    // ---------------------------------------------------------------- reading

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mChannel = ctx;
        mCodec = ctx.pipeline().context(HttpServerCodec.class);
        mContext.connections().add(this);
    }

    /** Handles received bytes: the first ones after a response start a request. */
    void onBytes() {
        if (mRequestStartedAt == 0) {
            mRequestStartedAt = mContext.now();
            mArrival =
                    mArrival != null && mArrival.wasDelayed()
                            ? mArrival
                            : mContext.arrivalTracker().next();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        FullHttpRequest r = (FullHttpRequest) msg;
        try {
            enqueue(r);
        } finally {
            r.release();
        }
    }

    private void enqueue(FullHttpRequest r) {
        if (mClosing) {
            return; // ignored: the connection is being closed
        }
        if (r.decoderResult().isFailure()) {
            refuseMalformed(r.decoderResult().cause());
            return;
        }
        mLastUse = mContext.now();
        CallerRequest request =
                new CallerRequest(
                        r.method(),
                        r.uri(),
                        r.headers().copy(),
                        ByteBufUtil.getBytes(r.content()),
                        mContext.headerCodec().decode(r),
                        mArrival == null ? mContext.arrivalTracker().next() : mArrival);
        mRequestStartedAt = 0;
        mArrival = null;
        mQueue.add(request);
        if (mQueue.size() >= MAX_QUEUED) {
            mChannel.channel().config().setAutoRead(false);
        }
        startNext();
    }

    /**
     * Starts the next request once the previous response is mostly accepted, so that callers that
     * do not read their responses do not fill the router's memory.
     */
    private void startNext() {
        if (mFlow != null || mClosing || !isWritable()) {
            return;
        }
        CallerRequest request = mQueue.poll();
        if (request == null) {
            return;
        }
        mChannel.channel().config().setAutoRead(true);
        mKeepAlive = keepsAlive(request);
        mBodiless = request.method().equals(HttpMethod.HEAD);
        mFlow = new RequestFlow(mContext, request, this);
        mFlow.start();
    }

    private static boolean keepsAlive(CallerRequest r) {
        return !r.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    private void refuseMalformed(Throwable cause) {
        HttpResponseStatus status =
                cause instanceof TooLongFrameException
                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                        : HttpResponseStatus.BAD_REQUEST;
        mContext.meters().onMalformed();
        mKeepAlive = false;
        respond(mContext.responses().local("", status, "malformed request"));
    }

    // ---------------------------------------------------------------- writing

    @Override
    public void respond(FullHttpResponse response) {
        boolean close = setConnectionHeader(response);
        finishResponse(mChannel.writeAndFlush(response), close);
    }

    @Override
    public void writeHead(HttpResponse head) {
        setConnectionHeader(head);
        mChannel.write(head);
    }

    @Override
    public void writeBody(ByteBuf bytes) {
        if (mBodiless) {
            bytes.release();
            return;
        }
        mCodec.writeAndFlush(
                ChunkEncoder.encode(mCodec.alloc(), bytes)); // bypasses the HTTP encoder
    }

    @Override
    public void complete() {
        boolean close = !mKeepAlive || mContext.isDraining();
        finishResponse(mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), close);
    }

    private boolean setConnectionHeader(HttpResponse response) {
        boolean close = !mKeepAlive || mContext.isDraining();
        if (close) {
            mKeepAlive = false;
        }
        HttpUtil.setKeepAlive(response, !close);
        return close;
    }

    private void finishResponse(io.netty.channel.ChannelFuture written, boolean close) {
        mFlow = null;
        mLastUse = mContext.now();
        if (close) {
            mClosing = true;
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        startNext();
    }

    @Override
    public void abort() {
        mFlow = null;
        mClosing = true;
        mChannel.close();
    }

    @Override
    public boolean isOpen() {
        return mChannel.channel().isActive();
    }

    @Override
    public boolean isWritable() {
        return mChannel.channel().isWritable();
    }

    // ---------------------------------------------------------------- lifecycle

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (mFlow != null) {
            mFlow.onWritabilityChanged(isWritable());
        } else if (isWritable()) {
            startNext();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mContext.connections().remove(this);
        mQueue.clear();
        mClosing = true;
        if (mFlow != null) {
            RequestFlow flow = mFlow;
            mFlow = null;
            flow.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close(); // connection reset by the caller; channelInactive cleans up
    }

    /** Returns whether the connection was idle, or receiving a request head, for too long. */
    boolean isStale(long now, CallerLimits limits) {
        if (mFlow != null || mClosing) {
            return false;
        }
        boolean slowHead =
                mRequestStartedAt != 0 && now - mRequestStartedAt > limits.headerMillis();
        boolean idle = mRequestStartedAt == 0 && now - mLastUse > limits.idleMillis();
        return slowHead || idle;
    }

    /** Returns the number of response bytes that the caller has not accepted yet. */
    long unsentBytes() {
        ChannelOutboundBuffer b = mChannel.channel().unsafe().outboundBuffer();
        return b == null ? 0 : b.totalPendingWriteBytes();
    }

    /** Closes the connection if it is not busy. */
    void closeIfIdle() {
        if (!isBusy() && !mClosing) {
            close();
        }
    }

    /** Returns whether a request is active or being received, or a response is being sent. */
    boolean isBusy() {
        return mFlow != null || mRequestStartedAt != 0 || unsentBytes() > 0;
    }

    void close() {
        mClosing = true;
        mChannel.close();
    }
}
