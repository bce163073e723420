package org.forkseam.daemon.router;

import org.forkseam.core.answer.ResponseAssembler;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.OutcomeKind;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.core.route.Candidate;
import org.forkseam.wire.Link;
import org.forkseam.wire.proto.Cancel;
import org.forkseam.wire.proto.Credit;
import org.forkseam.wire.proto.End;
import org.forkseam.wire.proto.Frame;
import org.forkseam.wire.proto.Head;
import org.forkseam.wire.proto.Refusal;
import org.forkseam.wire.proto.Resume;
import org.forkseam.wire.proto.Submit;

/**
 * One attempt to run a request on one target. Not thread-safe: used on the event loop only.
 *
 * <p>If the link closes, the attempt reconnects and resumes the response where it stopped. It fails
 * only when it cannot be resumed.
 */
final class Attempt {
    /** Receives the events of an attempt. */
    interface Listener {
        /** Called with the status and headers of the response. */
        void onHead(Attempt attempt, Head head);

        /** Called with the next part of the response body, in order. */
        void onData(Attempt attempt, byte[] data);

        /** Called when the response is complete. */
        void onComplete(Attempt attempt, End end);

        /** Called when the attempt was refused or its response cannot be completed. */
        void onFailed(Attempt attempt, AttemptFailure why);
    }

    /** Flow-control window: maximum bytes in transit that the caller has not consumed. */
    static final long WINDOW_BYTES = 128 << 10;

    private static final int MAX_RESUMES = 4;
    private static final long RESUME_DELAY_MILLIS = 60;

    private final AttemptRegistry mAttempts;
    private final Candidate mCandidate;
    private final Submit mSubmit;
    private final Listener mListener;
    private final ResponseAssembler mAssembler = new ResponseAssembler();
    private Link mLink;
    private long mStreamId;
    private long mIncarnation;
    private boolean mFinished;
    private boolean mHeadReceived;
    private End mEnd;
    private int mResumes;
    private long mReceivedBytes;
    private long mConsumedBytes;
    private long mBytesBeforeResume;
    private long mCreditBytes = WINDOW_BYTES;

    Attempt(AttemptRegistry attempts, Candidate candidate, Submit submit, Listener listener) {
        mAttempts = attempts;
        mCandidate = candidate;
        mSubmit = submit;
        mListener = listener;
    }

    Candidate candidate() {
        return mCandidate;
    }

    Link link() {
        return mLink;
    }

    boolean isFinished() {
        return mFinished;
    }

    // ---------------------------------------------------------------- sending

    void start() {
        mCandidate.target().onSent();
        mAttempts.connect(mCandidate.target().address(), this::onConnected, this::onUnreachable);
    }

    private void onConnected(Link link) {
        if (mFinished) {
            return;
        }
        mIncarnation = link.peer().getIncarnation();
        registerOn(link);
        link.send(
                mAttempts
                        .packet()
                        .setSubmit(mSubmit.toBuilder().setStream(mStreamId).setWindow(WINDOW_BYTES))
                        .build());
    }

    private void registerOn(Link link) {
        mLink = link;
        mStreamId = mAttempts.register(this);
    }

    private void onUnreachable(Throwable cause) {
        fail(
                AttemptFailure.notRun(RefusalReason.UNREACHABLE, 1_000)
                        .withDetail(String.valueOf(cause.getMessage())));
    }

    /** Records bytes consumed by the caller and grants the sidecar more credit. */
    void onConsumed(int bytes) {
        mConsumedBytes += bytes;
        long wanted = mConsumedBytes + WINDOW_BYTES;
        if (!mFinished && mLink != null && wanted - mCreditBytes >= WINDOW_BYTES / 2) {
            mCreditBytes = wanted;
            Credit c =
                    Credit.newBuilder()
                            .setStream(mStreamId)
                            .setTotalBytes(mCreditBytes - mBytesBeforeResume)
                            .setAckedSequence(mAssembler.nextSequence())
                            .build();
            mLink.send(mAttempts.packet().setCredit(c).build());
        }
    }

    /** Cancels the attempt, here and at the sidecar. */
    void cancel() {
        if (mFinished) {
            return;
        }
        finish();
        if (mLink != null) {
            Cancel c = Cancel.newBuilder().setStream(mStreamId).build();
            mLink.send(mAttempts.packet().setCancel(c).build());
        }
    }

    private void finish() {
        mFinished = true;
        mAttempts.unregister(mStreamId);
        mCandidate.target().onEnded();
    }

    private void fail(AttemptFailure why) {
        if (mFinished) {
            return;
        }
        finish();
        mListener.onFailed(this, why);
    }

    // ---------------------------------------------------------------- receiving

    void onHead(Head head) {
        if (head.hasResumedFrom()) {
            mAssembler.onResumedElsewhere();
        }
        if (!mHeadReceived) {
            mHeadReceived = true;
            mListener.onHead(this, head);
        }
    }

    void onFrame(Frame f) {
        for (byte[] data : mAssembler.onFrame(f.getSequence(), f.getData().toByteArray())) {
            mReceivedBytes += data.length;
            mListener.onData(this, data);
        }
        checkCompletion();
    }

    void onEnd(End end) {
        if (!end.getError().isEmpty()) {
            fail(AttemptFailure.failed(RefusalReason.BROKEN_ANSWER, end.getError()));
            return;
        }
        mEnd = end;
        mAssembler.onEnd(end.getFrameCount(), end.getChecksum());
        checkCompletion();
        if (!mFinished && mAssembler.state() == ResponseAssembler.State.OPEN) {
            resume();
        }
    }

    private void checkCompletion() {
        switch (mAssembler.state()) {
            case COMPLETE -> {
                finish();
                mListener.onComplete(this, mEnd);
            }
            case BROKEN -> {
                cancel();
                mListener.onFailed(
                        this,
                        AttemptFailure.failed(
                                RefusalReason.BROKEN_ANSWER,
                                "frames do not match the frame count or checksum of the end"));
            }
            default -> {
                // More frames are expected.
            }
        }
    }

    void onRefusal(Refusal r) {
        AttemptFailure why =
                new AttemptFailure(
                        OutcomeKind.valueOf(r.getKind()),
                        RefusalReason.valueOf(r.getReason()),
                        r.getRetryAfterMillis(),
                        r.getOwner(),
                        r.getDetail());
        fail(why);
    }

    // ---------------------------------------------------------------- resumption

    void onLinkClosed() {
        mAttempts.unregister(mStreamId);
        mLink = null;
        resume();
    }

    private void resume() {
        mAttempts.unregister(mStreamId);
        if (mResumes++ >= MAX_RESUMES) {
            fail(AttemptFailure.mayHaveRun(RefusalReason.CUT));
            return;
        }
        long delay = mResumes == 1 ? 1 : RESUME_DELAY_MILLIS << mResumes;
        mAttempts.schedule(
                delay,
                () -> {
                    if (!mFinished) {
                        mAttempts.connect(
                                mCandidate.target().address(),
                                this::onReconnected,
                                e -> onReconnectFailed());
                    }
                });
    }

    /** Keeps resuming if the request cannot be retried on another target; otherwise fails. */
    private void onReconnectFailed() {
        if (mHeadReceived || mSubmit.getUnrepeatable()) {
            resume();
        } else {
            fail(AttemptFailure.mayHaveRun(RefusalReason.CUT));
        }
    }

    private void onReconnected(Link link) {
        if (mFinished) {
            return;
        }
        registerOn(link);
        mBytesBeforeResume = mReceivedBytes;
        mCreditBytes = Math.max(mCreditBytes, mReceivedBytes + WINDOW_BYTES);
        Resume r =
                Resume.newBuilder()
                        .setStream(mStreamId)
                        .setAttemptKey(mSubmit.getAttemptKey())
                        .setFromSequence(mAssembler.nextSequence())
                        .setWindow(mCreditBytes - mBytesBeforeResume)
                        .setIncarnation(mIncarnation)
                        .setStripUsage(mSubmit.getStripUsage())
                        .setEngineStream(mHeadReceived && mSubmit.getChat())
                        .build();
        link.send(mAttempts.packet().setResume(r).build());
    }
}
