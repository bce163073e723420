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
 * Is one request at its target: waiting, claimed, running, or ended with its answer kept.
 *
 * <p>Several viewers may follow one answer, each at its own pace; while the slowest is far behind,
 * no more is read from the target. The state only moves forward. Not thread-safe; used on the event
 * loop.
 */
final class Exchange implements TargetClient.Listener {
    /** Says how far a request has come. */
    enum State {
        /** It waits for its turn or its claim; nothing was handed over. */
        WAITING,
        /** It was handed over. */
        RUNNING,
        /** The answer is whole. */
        WHOLE,
        /** It ended without a whole answer, before or after it was handed over. */
        OVER
    }

    /** Is told what the exchange's owner must act upon. */
    interface Owner {
        /** Receives that the request ended, in whatever way. */
        void onEnded(Exchange exchange);

        /** Receives the refusal of a request that nobody runs. */
        void onNotSent(Exchange exchange, Exception cause);
    }

    private static final int SERVER_ERROR = 500;
    private static final int HELD_BYTES = 256 << 10;

    private final Submit mRequest;
    private final Owner mOwner;
    private final long mArrivedMillis;
    private final ResponseBuffer mBuffer;
    private final SseSplitter mEvents = new SseSplitter();
    private final List<Viewer> mViewers = new ArrayList<>();
    private final long mResumedFrom;
    private State mState = State.WAITING;
    private TargetClient.Call mCall;
    private int mStatus;
    private List<Header> mHeaders = List.of();
    private boolean mIsEventStream;
    private boolean mReplayed;
    private Usage mUsage = new Usage(0, 0);
    private Optional<AttemptFailure> mRefused = Optional.empty();
    private Optional<Claims.Result> mClaim = Optional.empty();
    private long mStartedMillis;

    Exchange(Submit request, Owner owner, long nowMillis, int keptBytes) {
        this(request, owner, nowMillis, ResponseBuffer.of(keptBytes), -1);
    }

    private Exchange(
            Submit request, Owner owner, long nowMillis, ResponseBuffer buffer, long resumedFrom) {
        mRequest = request;
        mOwner = owner;
        mArrivedMillis = nowMillis;
        mBuffer = buffer;
        mResumedFrom = resumedFrom;
    }

    /** Creates an exchange that goes on with an engine's stream after a restart of the sidecar. */
    static Exchange resumed(
            Submit request, Owner owner, long nowMillis, int keptBytes, long fromSequence) {
        ResponseBuffer b = ResponseBuffer.from(fromSequence, keptBytes);
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

    Usage usage() {
        return mUsage;
    }

    ResponseBuffer buffer() {
        return mBuffer;
    }

    Optional<AttemptFailure> refused() {
        return mRefused;
    }

    Optional<Claims.Result> claim() {
        return mClaim;
    }

    void setClaim(Claims.Result claim) {
        mClaim = Optional.of(claim);
    }

    void dropClaim() {
        mClaim = Optional.empty();
    }

    List<Viewer> viewers() {
        return mViewers;
    }

    boolean isOver() {
        return mState == State.WHOLE || mState == State.OVER;
    }

    /** Returns the whole answer's frames, if all are still kept. */
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

    // ---------------------------------------------------------------- life-cycle

    /** Hands the request over. From here on it may have run. */
    void run(TargetClient target, long nowMillis) {
        start(nowMillis);
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

    /** Takes the engine's stream up where a former sidecar left it. */
    void runResumed(TargetClient target, long nowMillis) {
        start(nowMillis);
        mCall = target.resume(mRequest.getAttemptKey(), mResumedFrom, this);
    }

    private void start(long nowMillis) {
        mState = State.RUNNING;
        mStartedMillis = nowMillis;
    }

    /** Fills the exchange with an answer that is kept elsewhere. */
    void replay(StoredAnswer answer, long nowMillis) {
        mReplayed = true;
        mStartedMillis = nowMillis;
        mStatus = answer.status();
        mHeaders = answer.toHeaders();
        answer.frames().forEach(mBuffer::append);
        mBuffer.end();
        end(State.WHOLE);
    }

    /** Ends the request without an answer. */
    void refuse(AttemptFailure refused) {
        if (isOver()) {
            return;
        }
        mRefused = Optional.of(refused);
        if (mCall != null) {
            mCall.close();
        }
        end(State.OVER);
    }

    private void end(State state) {
        mState = state;
        mOwner.onEnded(this);
        pump();
    }

    // ---------------------------------------------------------------- viewers

    void addViewer(Viewer viewer) {
        mViewers.add(viewer);
        pump();
    }

    void removeViewer(Viewer viewer) {
        mViewers.remove(viewer);
        pump();
    }

    /** Sends viewers what they may have, and reads on while none is far behind. */
    void pump() {
        long acked = Long.MAX_VALUE;
        int held = 0;
        for (Viewer v : List.copyOf(mViewers)) {
            v.pump(this);
            acked = Math.min(acked, v.acked());
            held = Math.max(held, v.heldBytes(this));
        }
        if (!mViewers.isEmpty()) {
            mBuffer.ack(acked);
        }
        mViewers.removeIf(Viewer::isDone);
        if (mCall != null && !isOver()) {
            boolean room = mViewers.isEmpty() ? mBuffer.bytes() < HELD_BYTES : held < HELD_BYTES;
            mCall.setReading(room);
        }
    }

    // ---------------------------------------------------------------- from the target

    @Override
    public void onHead(int status, List<Header> headers) {
        if (mRequest.getChat() && status >= SERVER_ERROR) {
            // An engine that fails at once has answered nothing: another may.
            refuse(AttemptFailure.failed(RefusalReason.BROKEN_ANSWER, "engine's status " + status));
            return;
        }
        mStatus = status;
        mHeaders = headers;
        mIsEventStream =
                mRequest.getChat()
                        && headers.stream()
                                .anyMatch(h -> h.getValue().startsWith("text/event-stream"));
        pump();
    }

    @Override
    public void onData(byte[] data) {
        if (mIsEventStream) {
            mEvents.add(data).forEach(this::onEvent);
        } else {
            mBuffer.append(data);
        }
        pump();
    }

    private void onEvent(byte[] event) {
        Optional<Usage> usage = Usage.ofEvent(event);
        usage.ifPresent(u -> mUsage = u);
        if (usage.isEmpty() || !mRequest.getStripUsage()) {
            mBuffer.append(event);
        }
    }

    @Override
    public void onEnd() {
        byte[] rest = mEvents.rest();
        if (rest.length > 0) {
            mBuffer.append(rest);
        }
        if (mRequest.getChat() && !mIsEventStream && mBuffer.has(0)) {
            readUsage();
        }
        mBuffer.end();
        end(State.WHOLE);
    }

    private void readUsage() {
        StringBuilder sb = new StringBuilder();
        for (long i = 0; i < mBuffer.frameCount(); i++) {
            sb.append(new String(mBuffer.frame(i), StandardCharsets.UTF_8));
        }
        Usage.ofJson(sb.toString()).ifPresent(u -> mUsage = u);
    }

    @Override
    public void onNotSent(Exception cause) {
        mOwner.onNotSent(this, cause);
    }

    @Override
    public void onBroken(Exception cause) {
        boolean began = mStatus != 0;
        OutcomeKind kind = began ? OutcomeKind.FAILED : OutcomeKind.MAY_HAVE_RUN;
        mRefused =
                Optional.of(
                        new AttemptFailure(
                                kind, RefusalReason.BROKEN_ANSWER, 0, "", cause.toString()));
        end(State.OVER);
    }
}
