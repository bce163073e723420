package org.forkseam.daemon.sidecar;

import org.forkseam.core.answer.ResponseBuffer;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.OutcomeKind;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.wire.proto.Header;
import org.forkseam.wire.proto.Submit;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One request to the target, together with its buffered response.
 *
 * <p>Several subscribers may read the response, each at its own pace. Reading from the target
 * pauses while the slowest subscriber has too much unsent data. State transitions are monotonic.
 * Not thread-safe; used on the event loop.
 */
final class Exchange implements TargetClient.Listener {
    /** Lifecycle state of a request. */
    enum State {
        /** Queued or waiting for its claim; not yet sent to the target. */
        WAITING,
        /** Sent to the target. */
        RUNNING,
        /** Ended with a complete response. */
        WHOLE,
        /** Ended without a complete response, whether or not it was sent. */
        OVER
    }

    /** Handles the events on which the exchange's owner must act. */
    interface Owner {
        /** Called when the request has ended, successfully or not. */
        void onEnded(Exchange exchange);

        /** Called when the request could not be sent to the target. */
        void onNotSent(Exchange exchange, Exception cause);
    }

    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int MAX_UNSENT_BYTES = 256 << 10;

    private final Submit mRequest;
    private final Owner mOwner;
    private final long mArrivedMillis;
    private final ResponseBuffer mBuffer;
    private final SseSplitter mEventSplitter = new SseSplitter();
    private final List<StreamSubscriber> mSubscribers = new ArrayList<>();
    private final long mResumedFrom;
    private State mState = State.WAITING;
    private TargetClient.Call mCall;
    private int mStatus;
    private List<Header> mHeaders = List.of();
    private boolean mIsEventStream;
    private boolean mReplayed;
    private TokenUsage mUsage = new TokenUsage(0, 0);
    private Optional<AttemptFailure> mRefusal = Optional.empty();
    private Optional<ClaimManager.Result> mClaim = Optional.empty();
    private long mStartedMillis;

    Exchange(Submit request, Owner owner, long nowMillis, int maxBufferBytes) {
        this(request, owner, nowMillis, ResponseBuffer.of(maxBufferBytes), -1);
    }

    private Exchange(
            Submit request, Owner owner, long nowMillis, ResponseBuffer buffer, long resumedFrom) {
        mRequest = request;
        mOwner = owner;
        mArrivedMillis = nowMillis;
        mBuffer = buffer;
        mResumedFrom = resumedFrom;
    }

    /** Creates an exchange that resumes an engine's stream after a restart of the sidecar. */
    static Exchange createResumed(
            Submit request, Owner owner, long nowMillis, int maxBufferBytes, long fromSequence) {
        ResponseBuffer b = ResponseBuffer.from(fromSequence, maxBufferBytes);
        return new Exchange(request, owner, nowMillis, b, fromSequence);
    }

    // ---------------------------------------------------------------- accessors

    Submit request() {
        return mRequest;
    }

    State state() {
        return mState;
    }

    long arrivedMillis() {
        return mArrivedMillis;
    }

    long startedMillis() {
        return mStartedMillis;
    }

    int status() {
        return mStatus;
    }

    List<Header> headers() {
        return mHeaders;
    }

    boolean isReplayed() {
        return mReplayed;
    }

    long resumedFrom() {
        return mResumedFrom;
    }

    TokenUsage usage() {
        return mUsage;
    }

    ResponseBuffer buffer() {
        return mBuffer;
    }

    Optional<AttemptFailure> refusal() {
        return mRefusal;
    }

    Optional<ClaimManager.Result> claim() {
        return mClaim;
    }

    void setClaim(ClaimManager.Result claim) {
        mClaim = Optional.of(claim);
    }

    void clearClaim() {
        mClaim = Optional.empty();
    }

    List<StreamSubscriber> subscribers() {
        return mSubscribers;
    }

    boolean isEnded() {
        return mState == State.WHOLE || mState == State.OVER;
    }

    /** Returns all frames of a complete response, if they are still buffered. */
    Optional<List<byte[]>> frames() {
        if (mState != State.WHOLE || !mBuffer.has(0)) {
            return Optional.empty();
        }
        List<byte[]> out = new ArrayList<>();
        for (long i = 0; i < mBuffer.frameCount(); i++) {
            out.add(mBuffer.frame(i));
        }
        return Optional.of(out);
    }

    // ---------------------------------------------------------------- lifecycle

    /** Sends the request to the target. From here on it may have run. */
    void send(TargetClient target, long nowMillis) {
        markRunning(nowMillis);
        mCall =
                target.send(
                        new TargetClient.Request(
                                mRequest.getAttemptKey(),
                                mRequest.getMethod(),
                                mRequest.getPath(),
                                mRequest.getHeadersList(),
                                mRequest.getBody().toByteArray()),
                        this);
    }

    /** Resumes the engine's stream at the sequence where the previous sidecar stopped. */
    void resume(TargetClient target, long nowMillis) {
        markRunning(nowMillis);
        mCall = target.resume(mRequest.getAttemptKey(), mResumedFrom, this);
    }

    private void markRunning(long nowMillis) {
        mState = State.RUNNING;
        mStartedMillis = nowMillis;
    }

    /** Completes the exchange with a stored response. */
    void replay(StoredResponse response, long nowMillis) {
        mReplayed = true;
        mStartedMillis = nowMillis;
        mStatus = response.status();
        mHeaders = response.toHeaders();
        response.frames().forEach(mBuffer::append);
        mBuffer.end();
        end(State.WHOLE);
    }

    /** Ends the request without a response, unless it has ended already. */
    void refuse(AttemptFailure refused) {
        if (isEnded()) {
            return;
        }
        mRefusal = Optional.of(refused);
        if (mCall != null) {
            mCall.close();
        }
        end(State.OVER);
    }

    private void end(State state) {
        mState = state;
        mOwner.onEnded(this);
        flush();
    }

    // ---------------------------------------------------------------- subscribers

    void addSubscriber(StreamSubscriber subscriber) {
        mSubscribers.add(subscriber);
        flush();
    }

    void removeSubscriber(StreamSubscriber subscriber) {
        mSubscribers.remove(subscriber);
        flush();
    }

    /**
     * Sends buffered data to all subscribers within their credit, and pauses or resumes reading
     * from the target.
     */
    void flush() {
        long minAcked = Long.MAX_VALUE;
        int maxUnsent = 0;
        for (StreamSubscriber s : List.copyOf(mSubscribers)) {
            s.flush(this);
            minAcked = Math.min(minAcked, s.ackedSequence());
            maxUnsent = Math.max(maxUnsent, s.unsentBytes(this));
        }
        if (!mSubscribers.isEmpty()) {
            mBuffer.ack(minAcked);
        }
        mSubscribers.removeIf(StreamSubscriber::isDone);
        if (mCall != null && !isEnded()) {
            boolean hasCapacity =
                    mSubscribers.isEmpty()
                            ? mBuffer.bytes() < MAX_UNSENT_BYTES
                            : maxUnsent < MAX_UNSENT_BYTES;
            mCall.setReading(hasCapacity);
        }
    }

    // ---------------------------------------------------------------- from the target

    @Override
    public void onHead(int status, List<Header> headers) {
        if (mRequest.getChat() && status >= MIN_SERVER_ERROR_STATUS) {
            // Nothing was forwarded to subscribers yet, so the request can be retried elsewhere.
            refuse(AttemptFailure.failed(RefusalReason.BROKEN_ANSWER, "engine's status " + status));
            return;
        }
        mStatus = status;
        mHeaders = headers;
        mIsEventStream =
                mRequest.getChat()
                        && headers.stream()
                                .anyMatch(h -> h.getValue().startsWith("text/event-stream"));
        flush();
    }

    @Override
    public void onData(byte[] data) {
        if (mIsEventStream) {
            mEventSplitter.feed(data).forEach(this::onEvent);
        } else {
            mBuffer.append(data);
        }
        flush();
    }

    private void onEvent(byte[] event) {
        Optional<TokenUsage> usage = TokenUsage.parseEvent(event);
        usage.ifPresent(u -> mUsage = u);
        if (usage.isEmpty() || !mRequest.getStripUsage()) {
            mBuffer.append(event);
        }
    }

    @Override
    public void onEnd() {
        byte[] remainder = mEventSplitter.remainder();
        if (remainder.length > 0) {
            mBuffer.append(remainder);
        }
        if (mRequest.getChat() && !mIsEventStream && mBuffer.has(0)) {
            parseUsage();
        }
        mBuffer.end();
        end(State.WHOLE);
    }

    private void parseUsage() {
        StringBuilder sb = new StringBuilder();
        for (long i = 0; i < mBuffer.frameCount(); i++) {
            sb.append(new String(mBuffer.frame(i), StandardCharsets.UTF_8));
        }
        TokenUsage.parseJson(sb.toString()).ifPresent(u -> mUsage = u);
    }

    @Override
    public void onNotSent(Exception cause) {
        mOwner.onNotSent(this, cause);
    }

    @Override
    public void onFailed(Exception cause) {
        boolean responseStarted = mStatus != 0;
        OutcomeKind kind = responseStarted ? OutcomeKind.FAILED : OutcomeKind.MAY_HAVE_RUN;
        mRefusal =
                Optional.of(
                        new AttemptFailure(
                                kind, RefusalReason.BROKEN_ANSWER, 0, "", cause.toString()));
        end(State.OVER);
    }
}
