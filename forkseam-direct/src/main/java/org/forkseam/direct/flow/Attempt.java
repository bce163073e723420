package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

import org.forkseam.core.member.Target;
import org.forkseam.direct.io.AnswerListener;
import org.forkseam.direct.io.BreakKind;
import org.forkseam.direct.io.ConnectionUser;
import org.forkseam.direct.io.EventSplitter;
import org.forkseam.direct.io.HttpConnection;
import org.forkseam.direct.spi.AnswerHead;

import java.util.function.Supplier;

/**
 * Carries a request to one target and brings what comes back. Used on the event loop.
 *
 * <p>An answer with a success on a streaming route is passed on event by event; any other is kept
 * until it is whole, so that a broken one can be replaced.
 */
final class Attempt implements ConnectionUser, AnswerListener {
    /** An answer larger than this is taken for a fault of the target. */
    private static final int MAX_BODY_BYTES = 16 << 20;

    /**
     * A connection that brings nothing for so long may have been cut off without a word. The others
     * to its target that are idle are opened anew then, at some 1 ms each; one that was cut off
     * costs a request its whole time.
     */
    private static final long CUT_OFF_MILLIS = 400;

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
    private AnswerHead mDecoded;
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private boolean mPassing;
    private boolean mEnded;
    private long mSentAt;
    private long mHeardAt;
    private long mHeadAt;

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

    /** Begins: a connection, then the request. */
    void start(long maxIdleMillis) {
        mTarget.onSent(mStarted);
        mContext.targets().pool(mTarget).acquire(maxIdleMillis, this);
    }

    /** Ends the attempt: the target sees its connection close. Nothing is told any more. */
    void cancel() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mTarget.onEnded();
        if (isSent() && mHeardAt == 0 && mContext.now() - mSentAt > CUT_OFF_MILLIS) {
            mContext.targets().pool(mTarget).closeIdleSince(mSentAt);
        }
        if (mConnection != null) {
            mConnection.abandon();
        }
    }

    // ---------------------------------------------------------------- state

    Target target() {
        return mTarget;
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

    EventSplitter splitter() {
        return mSplitter;
    }

    /** Returns for how long the target has sent nothing for this request. */
    long silentMillis(long now) {
        return isSent() ? now - Math.max(mSentAt, mHeardAt) : 0;
    }

    /** Returns for how long the target has been bringing its answer. */
    long answeringMillis(long now) {
        return mHeadAt == 0 ? 0 : now - mHeadAt;
    }

    long ageMillis(long now) {
        return now - mStarted;
    }

    void setReading(boolean reading) {
        if (mConnection != null && !mEnded) {
            mConnection.setReading(reading);
        }
    }

    // ---------------------------------------------------------------- connection

    @Override
    public void onConnection(HttpConnection c) {
        if (mEnded) {
            c.giveBack();
            return;
        }
        mConnection = c;
        if (mContext.lag().isBehind()) {
            mContext.intake().afterReads(this::send);
        } else {
            send();
        }
    }

    /** A turn of a loop that is behind takes long: the caller's close may have been read in it. */
    private void send() {
        if (mEnded) {
            return;
        }
        if (mListener.isDone()) {
            mConnection.giveBack();
            mConnection = null;
            cancel();
            return;
        }
        long now = mContext.now();
        if (!mConnection.isUsable()) {
            giveUp(AttemptEnd.Kind.UNREACHABLE, "closed meanwhile");
            return;
        }
        if (!mTarget.takesWork(now)) {
            giveUp(AttemptEnd.Kind.WITHDRAWN, "the target takes no work any more");
            return;
        }
        if (!mListener.maySend()) {
            giveUp(AttemptEnd.Kind.WITHDRAWN, "the request may not be sent any more");
            return;
        }
        mSentAt = now;
        mConnection.send(mRequest.get(), this::belongs, this);
    }

    private void giveUp(AttemptEnd.Kind kind, String why) {
        mConnection.giveBack();
        end(AttemptEnd.of(kind, why));
    }

    @Override
    public void onNone(BreakKind kind, String detail) {
        end(AttemptEnd.of(kind, detail));
    }

    /**
     * Tells whether an answer is this request's: only refusals may come without an id. Asked of
     * each head before it is brought, so that it is decoded once.
     */
    private boolean belongs(HttpResponse r) {
        mDecoded = mContext.protocol().decode(r);
        if (mDecoded.requestId().isPresent()) {
            return mDecoded.requestId().get().equals(mRequestId);
        }
        return r.status().codeClass() != HttpStatusClass.SUCCESS;
    }

    // ---------------------------------------------------------------- answer

    @Override
    public void onHead(HttpResponse head) {
        heard();
        mHeadAt = mContext.now();
        mHead = head;
        mContext.knowledge().signals().onAnswer(mTarget, mDecoded);
        mDecoded.load().ifPresent(l -> mTarget.onLoad(l, mContext.now()));
        mDecoded.keepMillis().ifPresent(k -> mConnection.keepAtMost(k - keepMargin(k)));
    }

    /** An idle connection is given up somewhat before its server would close it. */
    private static long keepMargin(long keepMillis) {
        return Math.min(500, keepMillis / 4);
    }

    private void heard() {
        mHeardAt = mContext.now();
        mTarget.onHeard(mHeardAt);
    }

    @Override
    public void onBody(ByteBuf bytes) {
        heard();
        if (mEnded) {
            return;
        }
        if (mStream && isSuccess()) {
            mSplitter.add(bytes);
            return;
        }
        mBody =
                mBody.isReadable()
                        ? Unpooled.copiedBuffer(mBody, bytes)
                        : Unpooled.copiedBuffer(bytes);
        if (mBody.readableBytes() > MAX_BODY_BYTES) {
            mConnection.abandon();
            end(AttemptEnd.of(AttemptEnd.Kind.MALFORMED, "body over " + MAX_BODY_BYTES));
        }
    }

    /**
     * Passes on the events that have come together: on a busy router one write carries many, which
     * saves most of what a stream costs.
     */
    @Override
    public void onReadComplete() {
        if (mEnded || !mStream || mHead == null || !isSuccess()) {
            return;
        }
        ByteBuf events = mSplitter.takeWhole();
        if (!events.isReadable()) {
            return;
        }
        if (!mPassing) {
            mPassing = true;
            mListener.onStream(this);
        }
        if (!mEnded) {
            mListener.onEvents(this, events);
        }
    }

    /** Returns whether the target answered without having begun the request, as far as it tells. */
    boolean isTurnedAway() {
        return mHead.status().code() == HttpResponseStatus.TOO_MANY_REQUESTS.code();
    }

    private boolean isSuccess() {
        return mHead.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    @Override
    public void onEnd() {
        onReadComplete();
        mConnection = null;
        if (mEnded) {
            return;
        }
        if (mStream && isSuccess() && mSplitter.isHolding()) {
            end(AttemptEnd.of(AttemptEnd.Kind.BROKEN, "ended within an event"));
            return;
        }
        if (mStream && isSuccess() && !mPassing) {
            mPassing = true;
            mListener.onStream(this);
        }
        end(judge());
    }

    private AttemptEnd judge() {
        int status = mHead.status().code();
        if (mDecoded.wrongTarget()) {
            return AttemptEnd.of(AttemptEnd.Kind.WRONG_TARGET, "status " + status);
        }
        if (mDecoded.notRun()) {
            return AttemptEnd.of(AttemptEnd.Kind.REFUSED, "status " + status);
        }
        if (mHead.status().codeClass() == HttpStatusClass.SERVER_ERROR) {
            return AttemptEnd.of(AttemptEnd.Kind.FAILED, "status " + status);
        }
        return AttemptEnd.of(AttemptEnd.Kind.ANSWERED, "status " + status);
    }

    @Override
    public void onBroken(BreakKind kind, String detail) {
        onReadComplete();
        mConnection = null;
        end(AttemptEnd.of(kind, detail));
    }

    private void end(AttemptEnd end) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mTarget.onEnded();
        mListener.onEnd(this, end);
    }
}
