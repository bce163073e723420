package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

import org.forkseam.core.admit.MemoryBudget;
import org.forkseam.core.member.Target;
import org.forkseam.direct.io.ConnectionCallback;
import org.forkseam.direct.io.EventSplitter;
import org.forkseam.direct.io.ExchangeFailure;
import org.forkseam.direct.io.HttpConnection;
import org.forkseam.direct.io.ResponseListener;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.ResponseHead;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * Sends a request to one target and receives the response. Used on the event loop.
 *
 * <p>Successful responses on streaming routes are forwarded event by event. All other responses are
 * buffered until complete, so that a failed one can be replaced by a retry.
 */
final class Attempt implements ConnectionCallback, ResponseListener, MemoryBudget.Owner {
    /** Name of the delimiter of a body without chunks and length. */
    static final String DELIMITED_BY_CLOSE = "close";

    /** Larger response bodies and events count as malformed. */
    private static final int MAX_BODY_BYTES = 16 << 20;

    /**
     * Size from which events are forwarded before a read is complete, so that reading pauses early
     * if the caller is slow: a read may yield a megabyte.
     */
    private static final int MAX_BATCH_BYTES = 64 << 10;

    /** Smaller amounts of a response are not counted. */
    private static final int MIN_COUNTED_BYTES = 4 << 10;

    /**
     * If an attempt is cancelled without any response for this long, the network may have silently
     * dropped the connection. Idle connections to the same target are then closed, since they may
     * be affected too.
     */
    private static final long SILENT_CONNECTION_MILLIS = 400;

    private final RouterContext mContext;
    private final Target mTarget;
    private final String mRequestId;
    private final boolean mStream;
    private final Supplier<FullHttpRequest> mRequest;
    private final AttemptListener mListener;
    private final EventSplitter mSplitter = EventSplitter.create();
    private final long mStarted;
    private HttpConnection mConnection;
    private HttpResponse mHead;
    private ResponseHead mDecodedHead;
    private Optional<AttemptResult> mChecked = Optional.empty();
    private boolean mSkipped;
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private Optional<MemoryBudget.Account> mMemory = Optional.empty();
    private boolean mPaused;
    private long mResumedAt;
    private boolean mForwardsEvents;
    private boolean mStreamStarted;
    private boolean mEnded;
    private long mSentAt;
    private long mSoftwareKey;
    private long mLastReceivedAt;
    private long mHeadAt;
    private boolean mOutlivesCrashDelay;

    Attempt(
            RouterContext context,
            Target target,
            String requestId,
            boolean stream,
            Supplier<FullHttpRequest> request,
            AttemptListener listener) {
        mContext = context;
        mTarget = target;
        mRequestId = requestId;
        mStream = stream;
        mRequest = request;
        mListener = listener;
        mStarted = context.now();
    }

    /** Acquires a connection and sends the request. */
    void start(long maxIdleMillis) {
        mTarget.onRequestSent(mStarted);
        mContext.targetConnections().pool(mTarget).acquireFor(mRequestId, maxIdleMillis, this);
    }

    /** Cancels the attempt and closes its connection. The listener is not called any more. */
    void cancel() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        endPause();
        mMemory.ifPresent(MemoryBudget.Account::close);
        mTarget.onRequestEnded();
        if (isSent()
                && mLastReceivedAt == 0
                && mContext.now() - mSentAt > SILENT_CONNECTION_MILLIS) {
            mContext.targetConnections().pool(mTarget).closeIdleSince(mSentAt);
        }
        if (mConnection != null) {
            mConnection.abort();
        }
    }

    // ---------------------------------------------------------------- state

    Target target() {
        return mTarget;
    }

    /** Returns the software of the target when the request was sent. */
    long softwareKey() {
        return mSoftwareKey;
    }

    boolean isSent() {
        return mSentAt != 0;
    }

    HttpResponse head() {
        return mHead;
    }

    ByteBuf body() {
        return mBody;
    }

    /** Returns what marks the end of the response body, for logs; empty before the head. */
    String bodyDelimiter() {
        if (mHead == null) {
            return "";
        }
        if (HttpUtil.isTransferEncodingChunked(mHead)) {
            return "chunks";
        }
        return HttpConnection.isSelfDelimited(mHead) ? "length" : DELIMITED_BY_CLOSE;
    }

    /** Returns the time since the request was sent, or 0 before. */
    long sentMillis(long now) {
        return isSent() ? now - mSentAt : 0;
    }

    /**
     * Returns how long the target has sent nothing for this request; 0 while nothing is read
     * because the caller is slow.
     */
    long silentMillis(long now) {
        return readingMillis(mLastReceivedAt, now);
    }

    /**
     * Returns the time since the request was sent, or since a later time; 0 while nothing is read
     * because the caller is slow.
     */
    long readingMillis(long since, long now) {
        if (!isSent() || mPaused) {
            return 0;
        }
        return now - Math.max(Math.max(mSentAt, since), mResumedAt);
    }

    /** Returns whether a part of an event has arrived. */
    boolean hasPartialEvent() {
        return mSplitter.hasPartialEvent();
    }

    /** Returns the time since the response head arrived, or 0 before it. */
    long respondingMillis(long now) {
        return mHeadAt == 0 ? 0 : now - mHeadAt;
    }

    long ageMillis(long now) {
        return now - mStarted;
    }

    /** Pauses or resumes reading from the target, as the caller accepts data. */
    void setAutoRead(boolean autoRead) {
        if (mConnection == null || mEnded) {
            return;
        }
        mConnection.setAutoRead(autoRead);
        if (autoRead) {
            endPause();
        } else if (!mPaused) {
            mPaused = true;
            mTarget.onReadingPaused();
        }
    }

    private void endPause() {
        if (mPaused) {
            mPaused = false;
            mResumedAt = mContext.now();
            mTarget.onReadingResumed(mResumedAt);
        }
    }

    // ---------------------------------------------------------------- connection

    @Override
    public void onConnection(HttpConnection c) {
        if (mEnded) {
            c.release();
            return;
        }
        mConnection = c;
        if (mContext.loopLag().isOverloaded()) {
            mContext.requestQueue().runAfterReads(this::send);
        } else {
            send();
        }
    }

    /**
     * Sends the request unless it is no longer needed: on an overloaded event loop, the caller may
     * have disconnected since the connection was acquired.
     */
    private void send() {
        if (mEnded) {
            return;
        }
        if (mListener.isDone()) {
            mConnection.release();
            mConnection = null;
            cancel();
            return;
        }
        long now = mContext.now();
        if (!mConnection.isUsable()) {
            endUnsent(
                    AttemptResult.Kind.UNREACHABLE,
                    "connection was closed before the request was sent");
            return;
        }
        if (!mTarget.acceptsRequests(now)) {
            endUnsent(
                    AttemptResult.Kind.WITHDRAWN,
                    "target stopped accepting requests before the request was sent");
            return;
        }
        if (!mListener.maySend()) {
            endUnsent(AttemptResult.Kind.WITHDRAWN, "request was quarantined before it was sent");
            return;
        }
        mSentAt = now;
        mSoftwareKey = mTarget.softwareKey();
        mConnection.addRequestId(mRequestId);
        mConnection.send(mRequest.get(), this::matchesRequest, this);
    }

    private void endUnsent(AttemptResult.Kind kind, String detail) {
        mConnection.release();
        end(AttemptResult.of(kind, detail));
    }

    @Override
    public void onConnectionFailed(ExchangeFailure failure, String detail) {
        end(AttemptResult.of(failure, detail));
    }

    /**
     * Returns whether a response belongs to this request. Called once per response head, before
     * {@link #onHead}, and stores the decoded head and what it counts as.
     */
    private boolean matchesRequest(HttpResponse r) {
        mDecodedHead = mContext.headerCodec().decode(r);
        mChecked = ResponseCheck.check(mRequestId, r, mDecodedHead);
        if (mChecked.isEmpty() && !mSkipped) {
            mSkipped = true; // a faulty target may send many
            Event.of("response_skipped")
                    .with("request", mRequestId)
                    .with("target", mTarget.entry().id())
                    .with("detail", ResponseCheck.describeOther(r, mDecodedHead))
                    .log();
        }
        return mChecked.isPresent();
    }

    // ---------------------------------------------------------------- response

    @Override
    public void onHead(HttpResponse head) {
        onReceived();
        mHeadAt = mContext.now();
        mHead = head;
        AttemptResult checked = mChecked.orElseThrow();
        if (checked.kind() == AttemptResult.Kind.MALFORMED) {
            mConnection.abort();
            end(checked);
            return;
        }
        mForwardsEvents = mStream && isSuccess() && mListener.acceptsStream(head);
        mContext.fleetState().signals().onAnswer(mTarget, mDecodedHead);
        mContext.loadReports().onHead(mTarget, mDecodedHead);
        mDecodedHead
                .keepAliveMillis()
                .ifPresent(k -> mConnection.limitIdleMillis(k - idleMarginMillis(k)));
    }

    /** Returns how long before the server's keep-alive timeout an idle connection is dropped. */
    private static long idleMarginMillis(long keepAliveMillis) {
        return Math.min(500, keepAliveMillis / 4);
    }

    private void onReceived() {
        mLastReceivedAt = mContext.now();
        mTarget.onDataReceived(mLastReceivedAt);
    }

    @Override
    public void onBody(ByteBuf bytes) {
        onReceived();
        if (mEnded) {
            return;
        }
        if (mForwardsEvents) {
            onStreamBytes(bytes);
            return;
        }
        if (!mBody.isReadable()) {
            mBody = Unpooled.buffer(bytes.readableBytes());
        }
        mBody.writeBytes(bytes);
        if (mBody.readableBytes() > MAX_BODY_BYTES) {
            onResponseTooLarge("response body exceeds byte limit " + MAX_BODY_BYTES);
            return;
        }
        updateMemory();
    }

    private void onStreamBytes(ByteBuf bytes) {
        mSplitter.add(bytes);
        if (mSplitter.bufferedBytes() >= MAX_BATCH_BYTES) {
            forwardEvents();
        }
        if (mEnded) {
            return;
        }
        if (mSplitter.bufferedBytes() > MAX_BODY_BYTES) {
            onResponseTooLarge("event exceeds byte limit " + MAX_BODY_BYTES);
            return;
        }
        updateMemory();
    }

    /** Accounts for what was received and is not passed on; ends the attempt without room. */
    private void updateMemory() {
        if (mEnded || mConnection == null) {
            return;
        }
        long kept =
                mConnection.undecodedBytes()
                        + mSplitter.keptBytes()
                        + mListener.keptStreamBytes()
                        + (mBody.isReadable() ? mBody.capacity() : 0);
        long counted = kept < MIN_COUNTED_BYTES ? 0 : kept;
        if (counted == 0 && mMemory.isEmpty()) {
            return;
        }
        if (mMemory.isEmpty()) {
            mMemory = Optional.of(mContext.memory().open(this));
        }
        if (!mMemory.get().holdResponse(counted, mContext.now())) {
            onMemoryRevoked(MemoryBudget.Use.RESPONSE);
        }
    }

    @Override
    public void onMemoryRevoked(MemoryBudget.Use use) {
        mContext.meters().onMemoryRefusal("response");
        onResponseTooLarge(
                "all kept requests and responses exceed byte limit "
                        + mContext.memory().maxBytes());
    }

    private void onResponseTooLarge(String detail) {
        if (mConnection != null) {
            mConnection.abort();
        }
        end(AttemptResult.of(AttemptResult.Kind.MALFORMED, detail));
    }

    /**
     * Forwards all complete events of one read in a single write, which reduces the cost per event.
     */
    @Override
    public void onReadComplete() {
        forwardEvents();
        updateMemory();
    }

    private void forwardEvents() {
        if (mEnded || !mForwardsEvents) {
            return;
        }
        byte[] events = mSplitter.takeCompleteEvents();
        if (events.length == 0) {
            return;
        }
        Optional<byte[]> unseen = mListener.unseenEvents(events);
        if (unseen.isEmpty()) {
            mConnection.abort();
            end(
                    AttemptResult.of(
                            AttemptResult.Kind.NOT_CONTINUED, "events differ from those before"));
            return;
        }
        if (unseen.get().length == 0) {
            return;
        }
        startStream();
        if (!mEnded) {
            mListener.onEvents(this, unseen.get());
        }
    }

    private void startStream() {
        if (!mStreamStarted) {
            mStreamStarted = true;
            mListener.onStreamStarted(this);
        }
    }

    /**
     * Returns, once per attempt, whether the target has been responding for longer than a request
     * takes to crash it.
     */
    boolean outlivesCrashDelay() {
        if (mOutlivesCrashDelay
                || respondingMillis(mContext.now()) <= CrashDetector.MAX_CRASH_DELAY_MILLIS) {
            return false;
        }
        mOutlivesCrashDelay = true;
        return true;
    }

    /** Returns whether the target responded with a success. */
    boolean isSuccess() {
        return mHead.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    @Override
    public void onComplete() {
        forwardEvents();
        boolean closed = mConnection.hasEndedByClose();
        mConnection = null;
        if (mEnded) {
            return;
        }
        if (mForwardsEvents && mSplitter.hasPartialEvent()) {
            end(
                    AttemptResult.of(
                            AttemptResult.Kind.BROKEN, "stream ended in the middle of an event"));
            return;
        }
        AttemptResult result = classify();
        if (closed && result.kind() == AttemptResult.Kind.ANSWERED) {
            mContext.livenessCheck().check(mTarget, liveness -> endByClose(liveness, result));
            return;
        }
        complete(result);
    }

    /** Ends a response that was delimited by the close of its connection. */
    private void endByClose(LivenessCheck.Result liveness, AttemptResult result) {
        if (liveness == LivenessCheck.Result.LIVES) {
            complete(result);
            return;
        }
        String found =
                liveness == LivenessCheck.Result.ENDED ? "target ended" : "target does not respond";
        end(AttemptResult.of(AttemptResult.Kind.BROKEN, found + ", its response has no length"));
    }

    private void complete(AttemptResult result) {
        if (!mEnded && mForwardsEvents && result.kind() == AttemptResult.Kind.ANSWERED) {
            startStream();
        }
        end(result);
    }

    private AttemptResult classify() {
        AttemptResult checked = mChecked.orElseThrow();
        boolean answered = checked.kind() == AttemptResult.Kind.ANSWERED;
        boolean mayEnd = mForwardsEvents ? mListener.mayEndStream() : !mListener.isStreamStarted();
        if (answered && !mayEnd) {
            return AttemptResult.of(AttemptResult.Kind.NOT_CONTINUED, checked.detail());
        }
        return checked;
    }

    @Override
    public void onExchangeFailed(ExchangeFailure failure, String detail) {
        forwardEvents();
        mConnection = null;
        end(AttemptResult.of(failure, detail));
    }

    private void end(AttemptResult result) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        endPause();
        mMemory.ifPresent(MemoryBudget.Account::close);
        mTarget.onRequestEnded();
        mListener.onAttemptEnded(this, result);
    }
}
