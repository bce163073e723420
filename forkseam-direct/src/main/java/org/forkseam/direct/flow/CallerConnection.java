package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import org.forkseam.core.admit.MemoryBudget;
import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.direct.io.ChunkEncoder;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.RequestHead;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * A connection from a caller: reads complete requests one after another and writes their responses.
 * Used on the event loop.
 *
 * <p>If the connection closes, its active request is cancelled.
 */
final class CallerConnection extends ChannelDuplexHandler
        implements ResponseSink, MemoryBudget.Owner {
    /** Maximum number of pipelined requests; reading pauses when it is reached. */
    private static final int MAX_QUEUED = 16;

    /** Memory of pipelined requests from which reading pauses. */
    private static final long MAX_QUEUED_BYTES = 64 << 10;

    /** Smaller amounts that the caller has not accepted are not counted. */
    private static final long MIN_COUNTED_BYTES = 4 << 10;

    /** Bodies take seconds to arrive; another router may have room at once. */
    private static final long MEMORY_RETRY_AFTER_MILLIS = 500;

    private final RouterContext mContext;
    private final Deque<Queued> mQueue = new ArrayDeque<>();
    private final MemoryBudget.Account mMemory;
    private ChannelHandlerContext mChannel;
    private ChannelHandlerContext mEncoder;
    private RequestDecoder mDecoder;
    private RequestReader mReader;
    private long mQueuedBytes;
    private boolean mInputEnded;
    private boolean mResumeScheduled;
    private boolean mContinueDue;
    private RequestFlow mFlow;
    private boolean mKeepAlive = true;
    private boolean mClosing;
    private boolean mBodiless;
    private long mLastUse;
    private long mRequestStartedAt;
    private long mLastBytesAt;
    private Arrival mArrival;

    /**
     * What responds to a request that waits for those before it.
     *
     * @param refuse responds in place of it if its memory is needed
     * @param bytes memory of the request
     */
    private record Queued(Runnable start, Runnable refuse, long bytes) {}

    /**
     * Creates a connection.
     *
     * @param arrival arrival of the connection and its first request
     */
    CallerConnection(RouterContext context, Arrival arrival) {
        mContext = context;
        mMemory = context.memory().open(this);
        mLastUse = context.now();
        mArrival = arrival;
    }

    /** Sets the handlers that receive requests before this one. */
    void setInput(RequestDecoder decoder, RequestReader reader) {
        mDecoder = decoder;
        mReader = reader;
    }

    // ---------------------------------------------------------------- reading

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mChannel = ctx;
        mEncoder = ctx.pipeline().context(ResponseEncoder.class);
        mContext.connections().add(this);
    }

    /** Handles received bytes: the first ones after a response start a request. */
    void onBytes() {
        mLastBytesAt = mContext.now();
        if (mRequestStartedAt == 0) {
            mRequestStartedAt = mLastBytesAt;
            mArrival =
                    mArrival != null && mArrival.wasDelayed()
                            ? mArrival
                            : mContext.arrivalTracker().next();
        }
    }

    /**
     * Starts a request that has arrived, after the responses to earlier ones.
     *
     * @param bytes its memory
     */
    void enqueue(HttpRequest head, byte[] body, long bytes) {
        if (mClosing) {
            return; // ignored: the connection is being closed
        }
        mLastUse = mContext.now();
        RequestHead decoded = mContext.headerCodec().decode(head);
        CallerRequest request =
                new CallerRequest(
                        head.method(),
                        head.uri(),
                        head.headers(),
                        body,
                        decoded,
                        mArrival == null ? mContext.arrivalTracker().next() : mArrival);
        mRequestStartedAt = 0;
        mArrival = null;
        mContinueDue = false;
        String id = request.id();
        boolean keepAlive = keepsAlive(request);
        Runnable refuse =
                () -> { // does not refer to the request, whose memory is needed
                    mKeepAlive = keepAlive;
                    respondWithoutMemory(id);
                };
        addToQueue(new Queued(() -> startFlow(request, bytes), refuse, bytes));
    }

    private void addToQueue(Queued q) {
        mQueue.add(q);
        mQueuedBytes += q.bytes();
        updateReading();
        startNext();
    }

    // ---------------------------------------------------------------- memory

    long now() {
        return mContext.now();
    }

    /** Returns whether more of the received bytes may be decoded. */
    boolean mayDecode() {
        return !mReader.isWaiting()
                && !mInputEnded
                && mQueue.size() < MAX_QUEUED
                && mQueuedBytes <= MAX_QUEUED_BYTES;
    }

    /** Pauses or resumes reading, and the decoding of bytes that were read before. */
    private void updateReading() {
        boolean mayDecode = mayDecode();
        mChannel.channel().config().setAutoRead(mayDecode);
        if (mayDecode && !mResumeScheduled && mDecoder.hasUndecodedBytes()) {
            mResumeScheduled = true;
            mChannel.executor().execute(this::resumeDecoding);
        }
    }

    private void resumeDecoding() {
        mResumeScheduled = false;
        if (mayDecode() && isOpen()) {
            mChannel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
            mChannel.pipeline().fireChannelReadComplete();
        }
    }

    /** Called when a request begins or ends to wait for memory; that time is not the caller's. */
    void onWaiting(boolean waiting) {
        if (waiting) {
            mContext.memoryUsers().add(this);
        } else {
            mLastBytesAt = mContext.now();
        }
        if (!mClosing) {
            updateReading();
        }
    }

    /** Called at the end of a read: accounts for what has arrived of unfinished requests. */
    void onReadComplete() {
        long bytes = unfinishedBytes();
        boolean counted = bytes > 0 || mMemory.bytes(MemoryBudget.Use.UNFINISHED) > 0;
        if (counted && !mClosing && !mMemory.holdUnfinished(bytes, mContext.now())) {
            onMemoryRevoked(MemoryBudget.Use.UNFINISHED);
        }
    }

    private long unfinishedBytes() {
        return mReader.partialBytes() + mQueuedBytes;
    }

    /** Accounts for more memory of an unfinished request; returns false if there is none. */
    boolean holdMore(long bytes) {
        return mMemory.holdUnfinished(unfinishedBytes() + bytes, mContext.now());
    }

    @Override
    public void onMemoryRevoked(MemoryBudget.Use use) {
        if (use == MemoryBudget.Use.RESPONSE) {
            mContext.meters().onMemoryRefusal("unread_response");
            Event.of("slow_reader_closed").with("unsent_bytes", unsentBytes()).log();
            close();
            return;
        }
        if (mClosing) {
            return;
        }
        mContext.meters().onMemoryRefusal("unfinished");
        List<Queued> queued = List.copyOf(mQueue);
        mQueue.clear();
        queued.forEach(q -> mQueue.add(new Queued(q.refuse(), q.refuse(), 0)));
        mQueuedBytes = 0;
        mReader.giveUp();
        mMemory.holdUnfinished(0, mContext.now());
    }

    /** Retries what waits for memory, and accounts for what a slow reader has not accepted. */
    void onMemoryTick() {
        mReader.retry();
        updateUnsent();
        if (!mReader.isWaiting() && mMemory.bytes(MemoryBudget.Use.RESPONSE) == 0) {
            mContext.memoryUsers().remove(this);
        }
    }

    private void updateUnsent() {
        long unsent = unsentBytes();
        long counted = unsent < MIN_COUNTED_BYTES ? 0 : unsent;
        if (counted == mMemory.bytes(MemoryBudget.Use.RESPONSE)) {
            return;
        }
        mContext.memoryUsers().add(this);
        if (!mMemory.holdResponse(counted, mContext.now())) {
            onMemoryRevoked(MemoryBudget.Use.RESPONSE);
        }
    }

    /** Refuses a request whose body is not read, after the responses to earlier requests. */
    void refuseForMemory(HttpRequest head) {
        String id = mContext.headerCodec().decode(head).requestId().orElse("");
        mContinueDue = false;
        Runnable refuse =
                () -> {
                    mKeepAlive = true; // the rest of the body would reset a closed connection
                    respondWithoutMemory(id);
                };
        addToQueue(new Queued(refuse, refuse, 0));
    }

    private void respondWithoutMemory(String id) {
        Event.of("refused_memory")
                .with("request", id)
                .with("kept_bytes", mContext.memory().totalBytes())
                .with("max_bytes", mContext.memory().maxBytes())
                .log();
        mContext.meters().onOutcome("refused_memory");
        mBodiless = false;
        respond(
                mContext.responses()
                        .unavailable(id, "not run: no memory", MEMORY_RETRY_AFTER_MILLIS));
    }

    /** Reads no more; the connection is closed after the responses that are due. */
    void endInput() {
        mInputEnded = true;
        discardInput();
        updateReading();
        startNext();
    }

    private void discardInput() {
        try {
            mDecoder.discard(mChannel.pipeline().context(mDecoder));
        } catch (Exception e) {
            Event.error("discard_failed", e).log();
        }
    }

    /** Called when the rest of a body that was refused has arrived. */
    void onUnreadEnd() {
        mRequestStartedAt = 0;
        mArrival = null;
        mLastUse = mContext.now();
    }

    // ---------------------------------------------------------------- requests

    /**
     * Starts the next request once the previous response is mostly accepted, so that callers that
     * do not read their responses do not fill the router's memory.
     */
    private void startNext() {
        if (mFlow != null || mClosing || !isWritable()) {
            return;
        }
        Queued next = mQueue.poll();
        if (next == null && mInputEnded) {
            close();
            return;
        }
        if (next == null) {
            sendContinue();
            return;
        }
        mQueuedBytes -= next.bytes();
        updateReading();
        next.start().run();
    }

    private void startFlow(CallerRequest request, long bytes) {
        mKeepAlive = keepsAlive(request);
        if (mMemory.bytes(MemoryBudget.Use.UNFINISHED) > 0) {
            mMemory.holdUnfinished(unfinishedBytes(), mContext.now()); // without this request
        }
        if (!mMemory.holdRequest(bytes, mContext.now())) {
            mContext.meters().onMemoryRefusal("request");
            respondWithoutMemory(request.id());
            return;
        }
        mBodiless = request.method().equals(HttpMethod.HEAD);
        mFlow = new RequestFlow(mContext, request, this);
        mFlow.start();
    }

    private static boolean keepsAlive(CallerRequest r) {
        return !r.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    /** Refuses a request that cannot be decoded, and reads no more. */
    void refuseMalformed(Throwable cause) {
        if (mClosing) {
            return;
        }
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
        addToQueue(new Queued(start, start, 0));
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
        mEncoder.writeAndFlush(
                ChunkEncoder.encode(mEncoder.alloc(), bytes)); // bypasses the HTTP encoder
        updateUnsent();
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
        mMemory.holdRequest(0, mLastUse);
        if (close) {
            mClosing = true;
            releaseInput();
            updateUnsent();
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        updateUnsent();
        startNext();
    }

    /** Drops what has arrived of further requests, which are not served any more. */
    private void releaseInput() {
        discardInput();
        mReader.release();
        mQueue.clear();
        mQueuedBytes = 0;
        mMemory.holdUnfinished(0, mLastUse);
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

    /** Returns whether the current response has no body by the method of its request. */
    boolean isBodiless() {
        return mBodiless;
    }

    /** Returns whether the connection is closed once its last response was sent. */
    boolean isClosing() {
        return mClosing;
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
        mContext.memoryUsers().remove(this);
        mClosing = true;
        releaseInput();
        mMemory.close();
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

    /** Returns whether the connection was idle, or a request did not arrive, for too long. */
    boolean isStale(long now, CallerLimits limits) {
        if (mFlow != null || mReader.isWaiting()) {
            return false;
        }
        if (mRequestStartedAt == 0 || mClosing) {
            return now - mLastUse > limits.idleMillis();
        }
        if (!mReader.isInBody()) {
            return now - mRequestStartedAt > limits.headerMillis();
        }
        long max = mReader.isDiscarding() ? limits.headerMillis() : limits.idleMillis();
        return now - mLastBytesAt > max;
    }

    /** Returns whether the connection may be closed to make room: it serves no request. */
    boolean isSparable() {
        return mFlow == null && !mClosing && mQueue.isEmpty() && unsentBytes() == 0;
    }

    /** Returns whether nothing of a request has arrived. */
    boolean isIdle() {
        return mRequestStartedAt == 0;
    }

    /** Returns when the last request arrived or was responded to. */
    long lastUse() {
        return mLastUse;
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
        releaseInput();
        mChannel.close();
    }
}
