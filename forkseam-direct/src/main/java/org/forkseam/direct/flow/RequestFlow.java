package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.forkseam.core.member.Target;
import org.forkseam.core.route.Pick;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.RouteKind;
import org.forkseam.core.traffic.Team;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.direct.spi.ForwardingInfo;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Carries one request from its reading to its final answer. Used on the event loop.
 *
 * <p>One attempt is under way at a time; whether another follows is decided by {@link
 * AttemptTracker}.
 */
final class RequestFlow implements AttemptListener, RequestQueue.QueuedRequest {
    /** A request waits so long for a router that has just started; then it is refused. */
    private static final long CONFIG_WAIT_MILLIS = 600;

    /** By then such a router knows enough, or the balancer has taken it out. Unit: ms. */
    private static final long UNCONFIGURED_RETRY_AFTER_MILLIS = 500;

    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final ResponseSink mSink;
    private final long mContentHash;
    private final QuarantineCheck mQuarantine;
    private final RequestLogger mLogger;
    private final FinalResponse mResponse;
    private final long mReadAt;
    private final TargetSelection mTargetSelection;
    private final AttemptTracker mAttempts = new AttemptTracker();
    private final FailureResponder mFailureResponder;
    private TrafficConfig mConfig;
    private Admission mAdmission;
    private Attempt mAttempt;
    private boolean mStreaming;
    private boolean mDone;
    private String mLastEventId;

    RequestFlow(RouterContext context, CallerRequest request, ResponseSink sink) {
        mContext = context;
        mRequest = request;
        mSink = sink;
        mContentHash = request.contentHash();
        mQuarantine = new QuarantineCheck(context.knowledge().quarantine(), mContentHash);
        mLogger = new RequestLogger(context, request, mContentHash);
        mResponse = new FinalResponse(context, request, sink, this::onFinished);
        mTargetSelection = new TargetSelection(context, request);
        mFailureResponder = new FailureResponder(context, mResponse, mAttempts, mTargetSelection);
        mReadAt = context.now();
    }

    // ---------------------------------------------------------------- beginning

    void start() {
        mContext.activeRequests().add(this);
        mContext.requestQueue().enqueue(this);
    }

    @Override
    public Arrival arrival() {
        return mRequest.arrival();
    }

    @Override
    public boolean isDone() {
        return mDone || !mSink.isOpen();
    }

    /** Checks the request by the configuration in force; a newer one is asked anew. */
    @Override
    public RequestQueue.Readiness prepare() {
        if (!mContext.knowledge().isComplete()) {
            return RequestQueue.Readiness.NOT_YET;
        }
        if (mConfig != mContext.knowledge().config()) {
            check(mContext.knowledge().config());
        }
        return mDone ? RequestQueue.Readiness.DONE : RequestQueue.Readiness.READY;
    }

    private void check(TrafficConfig config) {
        mConfig = config;
        AdmissionCheck.Decision verdict = AdmissionCheck.check(config, mRequest);
        if (verdict instanceof AdmissionCheck.Admitted p) {
            admit(p);
        } else {
            mResponse.reject((AdmissionCheck.Rejected) verdict);
        }
    }

    private void admit(AdmissionCheck.Admitted p) {
        mAdmission = Admission.of(mConfig, p, mRequest);
        if (route().kind() == RouteKind.RESUMABLE) {
            mLastEventId = mRequest.head().lastEventId().orElse(null);
        }
    }

    private Route route() {
        return mAdmission.route();
    }

    private String pool() {
        return mAdmission.pool();
    }

    @Override
    public void dispatch() {
        mContext.retryBudgets().pool(pool()).onRequest(mContext.now());
        mContext.knowledge().seats().onRequest(pool());
        startAttempt();
    }

    // ---------------------------------------------------------------- attempts

    private void startAttempt() {
        if (!mAdmission.hasTimeForAttempt(mContext.now())) {
            respondWithFailure("no_time");
            return;
        }
        if (!mQuarantine.maySend()) {
            refuseOrRequestTrial();
            return;
        }
        Optional<Pick> pick = mTargetSelection.selectNext(mAdmission);
        if (pick.isEmpty()) {
            waitForTargetOrFail();
            return;
        }
        Target t = pick.get().target();
        mLogger.onTargetSelected(
                new RequestLogger.Selection(
                        pool(),
                        pick.get(),
                        mTargetSelection.key(),
                        mTargetSelection.sharedTokens()));
        mAttempt =
                new Attempt(
                        mContext,
                        t,
                        mRequest.id(),
                        route().kind().isStream(),
                        () -> requestFor(t),
                        this);
        mAttempt.start(mAdmission.maxIdleMillis());
    }

    /** Waits for the first target that wants work again, if that is soon. */
    private void waitForTargetOrFail() {
        OptionalLong freeIn = mTargetSelection.availableInMillis(mAdmission);
        long until = mContext.now() + freeIn.orElse(0);
        if (freeIn.isEmpty() || !mAdmission.mayWait(mRequest.receivedMillis(), until)) {
            respondWithFailure(mTargetSelection.unavailableReason(mAdmission, freeIn.isPresent()));
            return;
        }
        mTargetSelection.clearTried();
        mLogger.onHeldForTarget(freeIn.getAsLong());
        mContext.timer().after(freeIn.getAsLong(), this::startAttemptUnlessDone);
    }

    private void startAttemptUnlessDone() {
        if (!mDone) {
            startAttempt();
        }
    }

    /** Targets have ended under the request: it gets no other, but for a trial now and then. */
    private void refuseOrRequestTrial() {
        if (!mQuarantine.canRequestTrial()) {
            mFailureResponder.respondQuarantined(
                    mQuarantine.retryAfterMillis(), mAdmission, mStreaming);
            return;
        }
        mQuarantine.requestTrial(this::startAttemptUnlessDone);
    }

    @Override
    public boolean maySend() {
        return mQuarantine.maySend();
    }

    private FullHttpRequest requestFor(Target t) {
        mAttempts.onSent();
        return OutgoingRequest.of(mContext.protocol(), mRequest, handover(t));
    }

    private ForwardingInfo handover(Target t) {
        return new ForwardingInfo(
                t.entry().id(),
                mAdmission.remainingMillis(mContext.now()),
                mAdmission.team().map(Team::name),
                mAdmission.priority(),
                Optional.ofNullable(mLastEventId),
                mTargetSelection.copyFrom(t, pool()));
    }

    @Override
    public void onAttemptEnded(Attempt a, AttemptResult end) {
        mAttempt = null;
        long now = mContext.now();
        mContext.meters().onAttempt(end.kind().name());
        end.recordOn(a.target(), mContext.errorRate(pool()), now);
        boolean answered = end.kind() == AttemptResult.Kind.ANSWERED && !a.isRateLimited();
        mQuarantine.onAttemptEnd(end.kind().mayHaveRun(), answered);
        updateLastEventId(a);
        if (end.kind() == AttemptResult.Kind.ANSWERED) {
            if (!mDone) {
                finishAnswered(a);
            }
            return;
        }
        mAttempts.onFailed(end.kind().mayHaveRun());
        if (end.kind() == AttemptResult.Kind.BROKEN) {
            mContext.crashDetector()
                    .onConnectionLost(
                            a.target(),
                            mContentHash,
                            a.respondingMillis(now),
                            () -> retryOrFinish(a, end));
            return;
        }
        retryOrFinish(a, end);
    }

    /** Decides what follows an attempt that brought no answer. */
    private void retryOrFinish(Attempt a, AttemptResult end) {
        if (mDone) {
            return;
        }
        mLogger.onAttemptEnd(a, end, mAttempts.sentCount());
        if (mayRetry(end, mContext.now())) {
            startAttempt();
            return;
        }
        finishFailed(a, end);
    }

    private boolean mayRetry(AttemptResult end, long now) {
        boolean tooLate = mStreaming && mLastEventId == null;
        return !mAdmission.isExpired(now)
                && mAttempts.allowsNextAttempt(
                        end,
                        route(),
                        tooLate,
                        () -> mContext.retryBudgets().pool(pool()).tryRepeat(now));
    }

    // ---------------------------------------------------------------- streams

    @Override
    public void onStreamStarted(Attempt a) {
        if (mStreaming) {
            return; // a continued stream keeps the head of its first target
        }
        mStreaming = true;
        mContext.meters().onFirstByte(mContext.now() - mRequest.receivedMillis());
        mSink.writeHead(mContext.responses().streamHead(a.head()));
    }

    @Override
    public void onEvents(Attempt a, ByteBuf bytes) {
        mSink.writeBody(bytes);
        if (!mSink.isWritable()) {
            a.setAutoRead(false);
        }
    }

    void onWritabilityChanged(boolean writable) {
        if (mAttempt != null) {
            mAttempt.setAutoRead(writable);
        }
    }

    // ---------------------------------------------------------------- time

    /** Refuses a request for which a router that has just started could not learn enough. */
    private void refuseIfUnconfigured(long now) {
        if (now - mReadAt > CONFIG_WAIT_MILLIS) {
            mConfig = mContext.knowledge().config();
            mResponse.refuseUnconfigured(UNCONFIGURED_RETRY_AFTER_MILLIS);
        }
    }

    /** Looks after time: the deadline, and targets that have gone silent. */
    void onTick(long now) {
        if (mDone) {
            return;
        }
        if (mConfig == null) {
            refuseIfUnconfigured(now);
            return;
        }
        if (mAdmission.isExpired(now)) {
            onDeadline();
            return;
        }
        if (mAttempt != null && isStalled(mAttempt, now)) {
            replaceStalledAttempt(now);
        }
    }

    private boolean isStalled(Attempt a, long now) {
        if (!mAttempts.allowsRetry(route())) {
            return false;
        }
        return StallDetector.isStalled(
                route(), a.silentMillis(now), a.target().silentMillis(now), mStreaming);
    }

    private void replaceStalledAttempt(long now) {
        if (mContext.retryBudgets().pool(pool()).left(now) < 1) {
            return;
        }
        Attempt a = mAttempt;
        a.cancel();
        onAttemptEnded(
                a,
                AttemptResult.of(
                        AttemptResult.Kind.GIVEN_UP, "silent " + a.silentMillis(now) + " ms"));
    }

    private void updateLastEventId(Attempt a) {
        a.splitter().lastEventId().ifPresent(id -> mLastEventId = id);
    }

    private void onDeadline() {
        if (mAttempt != null) {
            Attempt a = mAttempt;
            mAttempt = null;
            mAttempts.onFailed(a.isSent());
            a.cancel();
            mContext.meters().onAttempt("DEADLINE");
            if (a.isSent() && a.target().isSilent(mContext.now())) {
                a.target().health().onFailure(mContext.now());
            }
        }
        respondWithFailure("deadline");
    }

    // ---------------------------------------------------------------- ending

    private void finishAnswered(Attempt a) {
        mContext.comeBack(pool()).onServed(mContext.now());
        mTargetSelection.onAnswered(pool(), a.target());
        if (route().kind().isStream() && mStreaming) {
            mResponse.completeStream();
        } else {
            mResponse.forward(a);
        }
    }

    private void finishFailed(Attempt a, AttemptResult end) {
        if (end.kind() == AttemptResult.Kind.FAILED && !mStreaming && canForwardFailure(a)) {
            mResponse.forwardFailure(a);
            return;
        }
        respondWithFailure(end.kind().name().toLowerCase(Locale.ROOT));
    }

    /** A 503 says that the request has not run; a target's that has run is not passed on. */
    private static boolean canForwardFailure(Attempt a) {
        return a.head().status().code() != HttpResponseStatus.SERVICE_UNAVAILABLE.code();
    }

    private void respondWithFailure(String why) {
        mFailureResponder.respond(why, mAdmission, mStreaming);
    }

    private void onFinished(String outcome) {
        mDone = true;
        mContext.activeRequests().remove(this);
        Optional<Admission> admitted = Optional.ofNullable(mAdmission);
        mLogger.onEnd(
                outcome,
                new RequestLogger.Summary(
                        admitted.map(a -> a.route().name()).orElse(""),
                        admitted.flatMap(Admission::team).map(Team::name).orElse(""),
                        mConfig == null ? 0 : mConfig.version(),
                        mAttempts.sentCount(),
                        mTargetSelection.copySource()));
    }

    /** The caller has gone: nothing is sent any more, and the target sees its connection close. */
    void onCallerDisconnected() {
        if (mDone) {
            return;
        }
        if (mAttempt != null) {
            mAttempt.cancel();
            mAttempt = null;
        }
        onFinished("caller_gone");
    }
}
