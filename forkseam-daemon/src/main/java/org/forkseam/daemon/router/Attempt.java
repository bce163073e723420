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
 * Is one try at one target, over as many connections as it takes. Used on the event loop.
 *
 * <p>A connection that is cut is opened again and the answer taken up where it stopped; only when
 * that fails is the attempt lost.
 */
final class Attempt {
    /** Is told what comes of the attempt. */
    interface Listener {
        /** Receives status and headers. */
        void onHead(Attempt attempt, Head head);

        /** Receives the next part of the answer, in order. */
        void onData(Attempt attempt, byte[] data);

        /** Receives that the answer is whole. */
        void onWhole(Attempt attempt, End end);

        /** Receives that there is no answer, or no more of it. */
        void onLost(Attempt attempt, AttemptFailure why);
    }

    /** Bytes of an answer under way to a caller that does not read. */
    static final long WINDOW = 128 << 10;

    private static final int MAX_RESUMES = 4;
    private static final long RESUME_DELAY_MILLIS = 60;

    private final Attempts mAttempts;
    private final Candidate mCandidate;
    private final Submit mSubmit;
    private final Listener mListener;
    private final ResponseAssembler mAssembler = new ResponseAssembler();
    private Link mLink;
    private long mStream;
    private long mIncarnation;
    private boolean mOver;
    private boolean mHeadSeen;
    private End mEnd;
    private int mResumes;
    private long mReceivedBytes;
    private long mTakenBytes;
    private long mBytesBeforeStream;
    private long mAllowedBytes = WINDOW;

    Attempt(Attempts attempts, Candidate candidate, Submit submit, Listener listener) {
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

    boolean isOver() {
        return mOver;
    }

    // ---------------------------------------------------------------- sending

    void start() {
        mCandidate.target().onSent();
        mAttempts.connect(mCandidate.target().address(), this::onConnected, this::onUnreachable);
    }

    private void onConnected(Link link) {
        if (mOver) {
            return;
        }
        mIncarnation = link.peer().getIncarnation();
        open(link);
        link.send(
                mAttempts
                        .packet()
                        .setSubmit(mSubmit.toBuilder().setStream(mStream).setWindow(WINDOW))
                        .build());
    }

    private void open(Link link) {
        mLink = link;
        mStream = mAttempts.register(this);
    }

    private void onUnreachable(Throwable cause) {
        lose(
                AttemptFailure.notRun(RefusalReason.UNREACHABLE, 1_000)
                        .withDetail(String.valueOf(cause.getMessage())));
    }

    /** Notes that the caller took bytes, and gives the sidecar credit for as many. */
    void onTaken(int bytes) {
        mTakenBytes += bytes;
        long wanted = mTakenBytes + WINDOW;
        if (!mOver && mLink != null && wanted - mAllowedBytes >= WINDOW / 2) {
            mAllowedBytes = wanted;
            Credit c =
                    Credit.newBuilder()
                            .setStream(mStream)
                            .setTotalBytes(mAllowedBytes - mBytesBeforeStream)
                            .setAckedSequence(mAssembler.nextSequence())
                            .build();
            mLink.send(mAttempts.packet().setCredit(c).build());
        }
    }

    /** Ends the attempt since nobody waits for it. */
    void cancel() {
        if (mOver) {
            return;
        }
        finish();
        if (mLink != null) {
            Cancel c = Cancel.newBuilder().setStream(mStream).build();
            mLink.send(mAttempts.packet().setCancel(c).build());
        }
    }

    private void finish() {
        mOver = true;
        mAttempts.unregister(mStream);
        mCandidate.target().onEnded();
    }

    private void lose(AttemptFailure why) {
        if (mOver) {
            return;
        }
        finish();
        mListener.onLost(this, why);
    }

    // ---------------------------------------------------------------- receiving

    void onHead(Head head) {
        if (head.hasResumedFrom()) {
            mAssembler.onResumedElsewhere();
        }
        if (!mHeadSeen) {
            mHeadSeen = true;
            mListener.onHead(this, head);
        }
    }

    void onFrame(Frame f) {
        for (byte[] data : mAssembler.onFrame(f.getSequence(), f.getData().toByteArray())) {
            mReceivedBytes += data.length;
            mListener.onData(this, data);
        }
        check();
    }

    void onEnd(End end) {
        if (!end.getError().isEmpty()) {
            lose(AttemptFailure.failed(RefusalReason.BROKEN_ANSWER, end.getError()));
            return;
        }
        mEnd = end;
        mAssembler.onEnd(end.getFrameCount(), end.getChecksum());
        check();
        if (!mOver && mAssembler.state() == ResponseAssembler.State.OPEN) {
            resume();
        }
    }

    private void check() {
        switch (mAssembler.state()) {
            case COMPLETE -> {
                finish();
                mListener.onWhole(this, mEnd);
            }
            case BROKEN -> {
                cancel();
                mListener.onLost(
                        this,
                        AttemptFailure.failed(
                                RefusalReason.BROKEN_ANSWER, "frames do not fit the end"));
            }
            default -> {
                // More frames are to come.
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
        lose(why);
    }

    // ---------------------------------------------------------------- cut connections

    void onCut() {
        mAttempts.unregister(mStream);
        mLink = null;
        resume();
    }

    private void resume() {
        mAttempts.unregister(mStream);
        if (mResumes++ >= MAX_RESUMES) {
            lose(AttemptFailure.mayHaveRun(RefusalReason.CUT));
            return;
        }
        long delay = mResumes == 1 ? 1 : RESUME_DELAY_MILLIS << mResumes;
        mAttempts.later(
                delay,
                () -> {
                    if (!mOver) {
                        mAttempts.connect(
                                mCandidate.target().address(), this::onReconnected, e -> onGone());
                    }
                });
    }

    /** A sidecar that is gone may come back; a request that can go elsewhere does not wait. */
    private void onGone() {
        if (mHeadSeen || mSubmit.getUnrepeatable()) {
            resume();
        } else {
            lose(AttemptFailure.mayHaveRun(RefusalReason.CUT));
        }
    }

    private void onReconnected(Link link) {
        if (mOver) {
            return;
        }
        open(link);
        mBytesBeforeStream = mReceivedBytes;
        mAllowedBytes = Math.max(mAllowedBytes, mReceivedBytes + WINDOW);
        Resume r =
                Resume.newBuilder()
                        .setStream(mStream)
                        .setAttemptKey(mSubmit.getAttemptKey())
                        .setFromSequence(mAssembler.nextSequence())
                        .setWindow(mAllowedBytes - mBytesBeforeStream)
                        .setIncarnation(mIncarnation)
                        .setStripUsage(mSubmit.getStripUsage())
                        .setEngineStream(mHeadSeen && mSubmit.getChat())
                        .build();
        link.send(mAttempts.packet().setResume(r).build());
    }
}
