package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.direct.io.ChunkEncoder;
import org.forkseam.direct.log.Event;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * A connection from a caller: reads complete requests one after another and writes their responses.
 * Used on the event loop.
 *
 * <p>If the connection closes, its active request is cancelled.
 */
final class CallerConnection extends ChannelDuplexHandler implements ResponseSink {
    /** Maximum number of pipelined requests; reading pauses when it is reached. */
    private static final int MAX_QUEUED = 16;

    /** Bodies take seconds to arrive; another router may have room at once. */
    private static final long BODY_RETRY_AFTER_MILLIS = 500;

    private final RouterContext mContext;
    private final Deque<Queued> mQueue = new ArrayDeque<>();
    private ChannelHandlerContext mChannel;
    private ChannelHandlerContext mCodec;
    private BodyReader mBodyReader;
    private Optional<RequestBodies.Reservation> mBody = Optional.empty();
    private boolean mBodyWaits;
    private boolean mContinueDue;
    private RequestFlow mFlow;
    private boolean mKeepAlive = true;
    private boolean mClosing;
    private boolean mBodiless;
    private long mLastUse;
    private long mRequestStartedAt;
    private Arrival mArrival;

    /** A request that waits for those before it, what responds to it, and its body's memory. */
    private record Queued(Runnable start, Optional<RequestBodies.Reservation> body) {}

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
        mBodyReader = ctx.pipeline().get(BodyReader.class);
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
                        bytes(r.content()),
                        mContext.headerCodec().decode(r),
                        mArrival == null ? mContext.arrivalTracker().next() : mArrival);
        mRequestStartedAt = 0;
        mArrival = null;
        mContinueDue = false;
        addToQueue(() -> startFlow(request), mBodyReader.takeReservation());
    }

    private void addToQueue(Runnable start, Optional<RequestBodies.Reservation> body) {
        mQueue.add(new Queued(start, body));
        updateAutoRead();
        startNext();
    }

    /** Returns the bytes of a body, without another copy of a large one. */
    private static byte[] bytes(ByteBuf body) {
        boolean whole =
                body.hasArray()
                        && body.arrayOffset() == 0
                        && body.readerIndex() == 0
                        && body.array().length == body.readableBytes();
        return whole ? body.array() : ByteBufUtil.getBytes(body);
    }

    /** Pauses reading while a body waits for memory; that time is not the caller's. */
    void setBodyWaits(boolean waits) {
        if (mBodyWaits && !waits && mRequestStartedAt != 0) {
            mRequestStartedAt = mContext.now();
        }
        mBodyWaits = waits;
        updateAutoRead();
    }

    private void updateAutoRead() {
        mChannel.channel().config().setAutoRead(!mBodyWaits && mQueue.size() < MAX_QUEUED);
    }

    /**
     * Refuses a request whose body is not read. Returns false if responses to earlier requests are
     * due.
     */
    boolean refuseUnread(HttpRequest head) {
        if (mFlow != null || !mQueue.isEmpty() || mClosing) {
            return false;
        }
        String id = mContext.headerCodec().decode(head).requestId().orElse("");
        Event.of("body_refused")
                .with("request", id)
                .with("held_bytes", mContext.requestBodies().totalBytes())
                .log();
        mKeepAlive = true; // the rest of the body would reset a connection that is closed
        mBodiless = false;
        respond(
                mContext.responses()
                        .unavailable(id, "not run: no memory for body", BODY_RETRY_AFTER_MILLIS));
        return true;
    }

    /** Called when the rest of a body that was refused has arrived. */
    void onUnreadEnd() {
        mRequestStartedAt = 0;
        mArrival = null;
        mLastUse = mContext.now();
    }

    /**
     * Starts the next request once the previous response is mostly accepted, so that callers that
     * do not read their responses do not fill the router's memory.
     */
    private void startNext() {
        if (mFlow != null || mClosing || !isWritable()) {
            return;
        }
        Queued next = mQueue.poll();
        if (next == null) {
            sendContinue();
            return;
        }
        updateAutoRead();
        mBody = next.body();
        next.start().run();
    }

    private void startFlow(CallerRequest request) {
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
        refuse("", status, "malformed request", false);
    }

    /**
     * Refuses a request whose body is not read, after the responses to earlier requests.
     *
     * @param keepAlive whether the next request can be told from the body
     */
    void refuseBody(HttpRequest head, HttpResponseStatus status, boolean keepAlive) {
        mBodyReader.release();
        if (mClosing) {
            return;
        }
        mContinueDue = false;
        String id = mContext.headerCodec().decode(head).requestId().orElse("");
        refuse(id, status, status.reasonPhrase(), keepAlive);
    }

    /** Refuses a request after the responses to earlier requests. */
    private void refuse(String id, HttpResponseStatus status, String reason, boolean keepAlive) {
        Runnable start =
                () -> {
                    mKeepAlive = keepAlive;
                    mBodiless = false;
                    respond(mContext.responses().local(id, status, reason));
                };
        addToQueue(start, Optional.empty());
    }

    /** Handles a head whose caller waits for an interim response before it sends the body. */
    void onContinueExpected() {
        mContinueDue = true;
        startNext();
    }

    /** Sends the interim response that is due, if any; no other response is being written. */
    private void sendContinue() {
        if (mContinueDue) {
            mContinueDue = false;
            mRequestStartedAt = mContext.now(); // the time before is not the caller's
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
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
        releaseBody();
        mLastUse = mContext.now();
        if (close) {
            mClosing = true;
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        startNext();
    }

    private void releaseBody() {
        mBody.ifPresent(RequestBodies.Reservation::release);
        mBody = Optional.empty();
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
        mClosing = true;
        releaseBody();
        mBodyReader.release();
        mQueue.forEach(q -> q.body().ifPresent(RequestBodies.Reservation::release));
        mQueue.clear();
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
                !mBodyWaits
                        && mRequestStartedAt != 0
                        && now - mRequestStartedAt > limits.headerMillis();
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
