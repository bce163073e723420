package org.forkseam.direct.flow;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

import org.forkseam.core.admit.Decision;
import org.forkseam.core.crash.RequestFingerprints;
import org.forkseam.core.member.Target;
import org.forkseam.core.outcome.SlidingWindowRetryBudget;
import org.forkseam.core.route.Pick;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.RouteKind;
import org.forkseam.core.traffic.Team;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.direct.know.QuarantineCheck;
import org.forkseam.direct.know.StreamOrigins;
import org.forkseam.direct.spi.ForwardingInfo;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Processes one request from arrival to the final response. Used on the event loop.
 *
 * <p>At most one attempt is active at a time; {@link AttemptTracker} decides about further
 * attempts.
 */
final class RequestFlow
        implements AttemptListener, RequestQueue.QueuedRequest, PoolAdmissions.Applicant {
    /** Maximum wait for the first configuration after a start; then the request is refused. */
    private static final long CONFIG_WAIT_MILLIS = 600;

    /** Retry delay sent while there is no configuration. */
    private static final long UNCONFIGURED_RETRY_AFTER_MILLIS = 500;

    /** Reason of the final response of requests that a router which is stopping does not end. */
    private static final String ROUTER_LEAVING = "router_leaving";

    /** Retry delay for a caller that another router can serve at once. */
    private static final long LEAVING_RETRY_AFTER_MILLIS = 100;

    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final ResponseSink mSink;
    private final RequestFingerprints mFingerprints;
    private final QuarantineCheck mQuarantineCheck;
    private final RequestLogger mLogger;
    private final FinalResponse mResponse;
    private final long mReadAt;
    private final TargetSelection mTargetSelection;
    private final StallCheck mStallCheck;
    private final PromptPlacement mPlacement;
    private final AttemptTracker mAttempts = new AttemptTracker();
    private final FailureResponder mFailureResponder;
    private final StreamRelay mStream;
    private TrafficConfig mConfig;
    private Admission mAdmission;
    private Attempt mAttempt;
    private boolean mHasEvents;
    private boolean mDone;
    private String mBodyDelimiter = "";
    private Optional<ResumableStream> mResumable = Optional.empty();
    private Optional<PoolAdmissions.Ticket> mTicket = Optional.empty();

    RequestFlow(RouterContext context, CallerRequest request, ResponseSink sink) {
        mContext = context;
        mRequest = request;
        mSink = sink;
        mFingerprints = request.fingerprints();
        mQuarantineCheck = QuarantineCheck.of(context.fleetState().quarantine(), mFingerprints);
        mLogger = new RequestLogger(context, request, mFingerprints.content());
        mResponse = new FinalResponse(context, request, sink, this::onFinished);
        mTargetSelection = new TargetSelection(context, request);
        mStallCheck = new StallCheck(context, mTargetSelection);
        mPlacement = new PromptPlacement(context, mTargetSelection);
        mFailureResponder = new FailureResponder(context, mResponse, mAttempts, mTargetSelection);
        mStream = new StreamRelay(context, sink);
        mReadAt = context.now();
    }

    // ---------------------------------------------------------------- admission

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

    /** Checks the request against the active configuration, again if it has changed. */
    @Override
    public RequestQueue.Readiness prepare() {
        if (!mContext.fleetState().isComplete()) {
            return RequestQueue.Readiness.NOT_YET;
        }
        if (mConfig != mContext.fleetState().config()) {
            check(mContext.fleetState().config());
        }
        return mDone ? RequestQueue.Readiness.DONE : RequestQueue.Readiness.READY;
    }

    private void check(TrafficConfig config) {
        mConfig = config;
        AdmissionCheck.Decision decision = AdmissionCheck.check(config, mRequest);
        if (decision instanceof AdmissionCheck.Admitted admitted) {
            admit(admitted);
        } else {
            mResponse.reject((AdmissionCheck.Rejected) decision);
        }
    }

    private void admit(AdmissionCheck.Admitted admitted) {
        mAdmission = Admission.of(mConfig, admitted, mRequest);
        if (!mContext.mayBegin(mAdmission)) {
            mResponse.refuse(ROUTER_LEAVING, LEAVING_RETRY_AFTER_MILLIS);
            return;
        }
        if (route().kind() == RouteKind.RESUMABLE) {
            mStream.resumeAfter(mRequest.head().lastEventId());
            mResumable =
                    Optional.of(ResumableStream.of(mContext.fleetState(), mAdmission, mRequest));
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
        mContext.attemptPatience(pool()).ifPresent(p -> p.onRequest(mContext.now()));
        mContext.fleetState().shardTables().onRequest(pool());
        if (mResumable.filter(ResumableStream::isResumed).isPresent()) {
            mResumable.get().findOrigin(this::onOrigin);
            return;
        }
        mPlacement.find(mAdmission, this::startAttemptUnlessDone);
    }

    /** Continues a resumed stream at the software that began it, or refuses the request. */
    private void onOrigin(StreamOrigins.Result origin) {
        if (mDone) {
            return;
        }
        mLogger.onOrigin(origin.source());
        if (origin.software().isEmpty()) {
            mFailureResponder.respondNotResumable("stream_unknown");
            return;
        }
        mTargetSelection.requireSoftware(origin.software().getAsLong());
        startAttempt();
    }

    // ---------------------------------------------------------------- attempts

    /**
     * Starts an attempt. After a stall, other targets are compared only once their responses have
     * been read.
     */
    private void startAttempt() {
        if (mContext.arrivalTracker().isStalled()) {
            mContext.readBarrier().afterReads(this::selectTargetUnlessDone);
            return;
        }
        selectTarget();
    }

    private void selectTargetUnlessDone() {
        if (!mDone) {
            selectTarget();
        }
    }

    private void selectTarget() {
        if (!mAdmission.hasTimeForAttempt(mContext.now())) {
            respondWithFailure("no_time");
            return;
        }
        if (!mQuarantineCheck.maySend()) {
            refuseOrRequestTrial();
            return;
        }
        if (mContext.admitsByShare(pool()) && !mStream.isStarted()) {
            mContext.admissions().decide(ticket());
            return;
        }
        begin();
    }

    // ---------------------------------------------------------------- contended pools

    private PoolAdmissions.Ticket ticket() {
        if (mTicket.isEmpty()) {
            mTicket =
                    Optional.of(
                            mContext.admissions()
                                    .ticket(mAdmission, mRequest.receivedMillis(), this));
        }
        return mTicket.get();
    }

    @Override
    public List<Target> candidates() {
        return mTargetSelection.admissionCandidates(mAdmission);
    }

    @Override
    public void reject(Decision.Reject rejection) {
        mFailureResponder.respondRejected(rejection, mAdmission, mStream.isStarted());
    }

    /** Reports the result of an attempt to the admission of a contended pool. */
    private void recordForAdmission(PoolAdmissions.Ticket t, Attempt a, AttemptResult result) {
        if (result.kind() == AttemptResult.Kind.REFUSED) {
            if (a.target().acceptsRequests(mContext.now())) {
                mTargetSelection.clearTried(a.target());
                mContext.admissions().onFull(t);
            }
            return;
        }
        if (result.kind() != AttemptResult.Kind.ANSWERED) {
            return;
        }
        if (!mStream.isStarted()) {
            mContext.admissions().onAnswered(t, mContext.loopLag().isOverloaded());
        }
        mContext.admissions().onSlotFreed(t, a.target());
    }

    // ---------------------------------------------------------------- selection

    /** Selects a target and starts an attempt. */
    @Override
    public void begin() {
        Optional<Pick> pick = mTargetSelection.selectNext(mAdmission);
        if (pick.isEmpty()) {
            waitForTargetOrFail();
            return;
        }
        Target t = pick.get().target();
        mPlacement.onTargetSelected(pick.get());
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
        mStream.onAttempt();
        mStallCheck.onAttemptStart(t);
        mAttempt.start(mAdmission.maxIdleMillis());
    }

    /**
     * Waits for a target to accept requests again if that is soon enough; fails the request
     * otherwise.
     */
    private void waitForTargetOrFail() {
        OptionalLong availableIn = mTargetSelection.availableInMillis(mAdmission);
        long until = mContext.now() + availableIn.orElse(0);
        if (availableIn.isEmpty() || !mAdmission.mayWait(mRequest.receivedMillis(), until)) {
            respondWithFailure(
                    mTargetSelection.unavailableReason(mAdmission, availableIn.isPresent()));
            return;
        }
        mTargetSelection.clearTried();
        mLogger.onHeldForTarget(availableIn.getAsLong());
        mContext.readBarrier().schedule(availableIn.getAsLong(), this::selectTargetUnlessDone);
    }

    private void startAttemptUnlessDone() {
        if (!mDone) {
            startAttempt();
        }
    }

    /** Handles a quarantined request: refuses it or requests a trial. */
    private void refuseOrRequestTrial() {
        if (!mQuarantineCheck.canRequestTrial()) {
            mLogger.onQuarantined(mQuarantineCheck.blamed());
            mFailureResponder.respondQuarantined(
                    mQuarantineCheck.retryAfterMillis(), mAdmission, mStream.isStarted());
            return;
        }
        mQuarantineCheck.requestTrial(this::startAttemptUnlessDone);
    }

    @Override
    public boolean maySend() {
        return mQuarantineCheck.maySend();
    }

    private FullHttpRequest requestFor(Target t) {
        mAttempts.onSent();
        return OutgoingRequest.of(mContext.headerCodec(), mRequest, forwardingInfo(t));
    }

    private ForwardingInfo forwardingInfo(Target t) {
        return new ForwardingInfo(
                t.entry().id(),
                mAdmission.remainingMillis(mContext.now()),
                mAdmission.team().map(Team::name),
                mAdmission.priority(),
                mStream.position().lastEventId(),
                mTargetSelection.copyFrom(t, pool()));
    }

    @Override
    public void onAttemptEnded(Attempt a, AttemptResult result) {
        mAttempt = null;
        long now = mContext.now();
        mContext.meters().onAttempt(result.kind().name());
        result.recordOn(a.target(), mContext.errorRate(pool()), now);
        mTicket.ifPresent(t -> recordForAdmission(t, a, result));
        boolean answered = result.kind() == AttemptResult.Kind.ANSWERED;
        mPlacement.onAttemptEnded(answered);
        mQuarantineCheck.onAttemptEnd(
                result.kind().mayHaveRun(), answered, answered && a.isSuccess());
        mBodyDelimiter = a.bodyDelimiter();
        if (result.kind() == AttemptResult.Kind.ANSWERED) {
            if (!mDone) {
                finishAnswered(a);
            }
            return;
        }
        mAttempts.onFailed(result.kind().mayHaveRun());
        if (result.kind() == AttemptResult.Kind.BROKEN) {
            mTargetSelection.onBroken(a.target());
            mContext.crashDetector()
                    .onConnectionLost(
                            a.target(),
                            mFingerprints,
                            a.respondingMillis(now),
                            () -> retryOrFinish(a, result));
            return;
        }
        retryOrFinish(a, result);
    }

    /** Starts another attempt or finishes the request after a failed attempt. */
    private void retryOrFinish(Attempt a, AttemptResult result) {
        if (mDone) {
            return;
        }
        mLogger.onAttemptEnd(
                a,
                result,
                mAttempts.sentCount(),
                mStallCheck.timeoutMillis(a, mAdmission),
                mStream.position().lastEventId());
        if (mayRetry(result, mContext.now())) {
            startAttempt();
            return;
        }
        finishFailed(a, result);
    }

    private boolean mayRetry(AttemptResult result, long now) {
        boolean cannotResume = mStream.isStarted() && !canContinue();
        return !mAdmission.isExpired(now)
                && mAttempts.allowsNextAttempt(result, route(), cannotResume, () -> takeRetry(now));
    }

    /** Returns whether a target can continue the stream that was broken off. */
    private boolean canContinue() {
        return mStream.position().isResumable()
                && mTargetSelection.canContinueBrokenStream(mAdmission);
    }

    /** Returns whether another target can continue the stream that has started. */
    private boolean canContinueElsewhere() {
        return mStream.position().isResumable() && mTargetSelection.hasUntriedTarget(mAdmission);
    }

    /** Takes one retry from the pool's budget, or logs why none is left. */
    private boolean takeRetry(long now) {
        SlidingWindowRetryBudget budget = mContext.retryBudgets().pool(pool());
        boolean taken = budget.tryRetry(now);
        mContext.meters().onRetry(taken);
        if (!taken) {
            mLogger.onRetryDenied(
                    pool(), budget.usage(now), mContext.retryBudgets().routerCount().orElse(0));
        }
        return taken;
    }

    // ---------------------------------------------------------------- streams

    @Override
    public boolean isStreamStarted() {
        return mStream.isStarted();
    }

    @Override
    public boolean acceptsStream(HttpResponse head) {
        return mStream.accepts(head);
    }

    @Override
    public long keptStreamBytes() {
        return mStream.keptBytes();
    }

    @Override
    public boolean mayEndStream() {
        return mStream.mayEnd();
    }

    @Override
    public void onStreamStarted(Attempt a) {
        mStallCheck.onResponse(a, mAdmission);
        if (mStream.isStarted()) {
            return; // a resumed stream keeps the head from its first target
        }
        mPlacement.onFirstEvent();
        mContext.meters().onFirstByte(mContext.now() - mRequest.receivedMillis());
        mTicket.ifPresent(
                t -> mContext.admissions().onAnswered(t, mContext.loopLag().isOverloaded()));
        mStream.start(a.head());
    }

    @Override
    public Optional<byte[]> unseenEvents(byte[] events) {
        return mStream.unseen(events);
    }

    @Override
    public void onEvents(Attempt a, byte[] events) {
        if (!mHasEvents) {
            mHasEvents = true;
            onFirstEvents(a);
        }
        mTargetSelection.requireSoftware(a.softwareKey());
        mResumable.ifPresent(s -> s.onEvents(a.softwareKey()));
        if (a.outlivesCrashDelay()) {
            mQuarantineCheck.onPartsServed();
        }
        mStream.forward(events);
        if (!mSink.isWritable()) {
            a.setAutoRead(false);
        }
    }

    /**
     * Uses the time to the first events to estimate the prefill rate of the pool. Not after another
     * attempt, by which the prompt may be cached.
     */
    private void onFirstEvents(Attempt a) {
        boolean resumed =
                mRequest.head().resumes().isPresent()
                        || mResumable.filter(ResumableStream::isResumed).isPresent();
        if (mTargetSelection.promptTokens() == 0 || resumed || mAttempts.sentCount() != 1) {
            return;
        }
        mContext.prefillRate(pool())
                .onFirstEvent(
                        mTargetSelection.tokensToRead(a.target()),
                        mTargetSelection.promptTokens(),
                        a.sentMillis(mContext.now()));
    }

    void onWritabilityChanged(boolean writable) {
        if (mAttempt != null) {
            mAttempt.setAutoRead(writable);
        }
    }

    // ---------------------------------------------------------------- timeouts

    /** Refuses the request if the router has no configuration for too long. */
    private void refuseIfUnconfigured(long readUntil) {
        if (isUnconfiguredTooLong(readUntil)) {
            mConfig = mContext.fleetState().config();
            mResponse.refuseUnconfigured(UNCONFIGURED_RETRY_AFTER_MILLIS);
        }
    }

    private boolean isUnconfiguredTooLong(long now) {
        return now - mReadAt > CONFIG_WAIT_MILLIS;
    }

    /** Returns whether a timeout has passed unless unread input shows otherwise. */
    boolean isTimedOut(long now) {
        if (mDone) {
            return false;
        }
        if (mConfig == null) {
            return isUnconfiguredTooLong(now);
        }
        return mAdmission.isExpired(now) || mayReplaceAttempt(now);
    }

    /**
     * Checks the deadline and whether the current attempt is stalled.
     *
     * @param readUntil time up to which all input has been read
     */
    void onTick(long readUntil) {
        if (mDone) {
            return;
        }
        if (mConfig == null) {
            refuseIfUnconfigured(readUntil);
            return;
        }
        if (mAdmission.isExpired(readUntil)) {
            onDeadline(readUntil);
            return;
        }
        mResumable.ifPresent(ResumableStream::reportUnlessInferable);
        if (mayReplaceAttempt(readUntil)) {
            replaceStalledAttempt(readUntil);
        }
    }

    private boolean mayReplaceAttempt(long readUntil) {
        return mAttempt != null && isStalled(mAttempt, readUntil) && canReplaceAttempt();
    }

    private boolean isStalled(Attempt a, long readUntil) {
        if (!mAttempts.allowsRetry(route())) {
            return false;
        }
        return mStallCheck.isStalled(a, mAdmission, mStream, readUntil);
    }

    private boolean canReplaceAttempt() {
        if (mStream.isStarted() && !canContinueElsewhere()) {
            return false; // the stalled target may still continue
        }
        return mContext.retryBudgets().pool(pool()).remaining(mContext.now()) >= 1;
    }

    private void replaceStalledAttempt(long readUntil) {
        Attempt a = mAttempt;
        mStallCheck.onAbandoned(mAdmission);
        a.cancel();
        onAttemptEnded(
                a,
                AttemptResult.of(
                        AttemptResult.Kind.GIVEN_UP,
                        "silent " + a.silentMillis(readUntil) + " ms"));
    }

    private void onDeadline(long readUntil) {
        if (!mStream.isStarted()) {
            mTicket.ifPresent(mContext.admissions()::onExpired);
        }
        Optional<Attempt> cancelled = cancelAttempt("DEADLINE");
        cancelled
                .filter(a -> a.isSent() && a.target().isSilent(readUntil))
                .ifPresent(a -> a.target().health().onFailure(mContext.now()));
        respondWithFailure("deadline");
    }

    private Optional<Attempt> cancelAttempt(String end) {
        Optional<Attempt> attempt = Optional.ofNullable(mAttempt);
        mAttempt = null;
        attempt.ifPresent(
                a -> {
                    mAttempts.onFailed(a.isSent());
                    a.cancel();
                    mContext.meters().onAttempt(end);
                });
        return attempt;
    }

    /** Sends the final response because the router stops. */
    void endForStop() {
        if (mDone) {
            return;
        }
        if (mAdmission == null) {
            mResponse.refuse(ROUTER_LEAVING, LEAVING_RETRY_AFTER_MILLIS);
            return;
        }
        cancelAttempt("ROUTER_LEAVING");
        respondWithFailure(ROUTER_LEAVING);
    }

    // ---------------------------------------------------------------- completion

    private void finishAnswered(Attempt a) {
        mContext.retryDelay(pool()).onServed(mContext.now());
        mContext.durations(route().name()).add(mContext.now() - mReadAt, mContext.now());
        mTargetSelection.onAnswered(pool(), a.target());
        if (route().kind().isStream() && mStream.isStarted()) {
            mResponse.completeStream();
        } else {
            mStallCheck.onResponse(a, mAdmission);
            mResponse.forward(a);
        }
    }

    private void finishFailed(Attempt a, AttemptResult result) {
        if (result.kind() == AttemptResult.Kind.FAILED
                && !mStream.isStarted()
                && !ResponseCheck.isPromise(a.head())) {
            mResponse.forwardFailure(a);
            return;
        }
        respondWithFailure(result.kind().name().toLowerCase(Locale.ROOT));
    }

    private void respondWithFailure(String reason) {
        mFailureResponder.respond(reason, mAdmission, mStream.isStarted());
    }

    private void onFinished(String outcome) {
        mDone = true;
        mContext.activeRequests().remove(this);
        mPlacement.onRequestEnded();
        mTicket.ifPresent(mContext.admissions()::remove);
        Optional<Admission> admitted = Optional.ofNullable(mAdmission);
        mLogger.onEnd(
                outcome,
                new RequestLogger.Summary(
                        admitted.map(a -> a.route().name()).orElse(""),
                        admitted.flatMap(Admission::team).map(Team::name).orElse(""),
                        mConfig == null ? 0 : mConfig.version(),
                        mAttempts.sentCount(),
                        mBodyDelimiter,
                        mTargetSelection.copySource(),
                        mPlacement.placedBy()));
    }

    /** Cancels the request after its caller disconnected. */
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
