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
import org.forkseam.direct.spi.Handover;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Carries one request from its reading to its final answer. Used on the event loop.
 *
 * <p>One attempt is under way at a time; whether another follows is decided by {@link
 * AttemptTally}.
 */
final class RequestFlow implements AttemptListener, Intake.Item {
    /** A request waits so long for a router that has just started; then it is refused. */
    private static final long AWAIT_KNOWLEDGE_MILLIS = 600;

    /** By then such a router knows enough, or the balancer has taken it out. Unit: ms. */
    private static final long IGNORANT_BACK_MILLIS = 500;

    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final CallerSink mSink;
    private final long mContent;
    private final QuarantineCheck mQuarantine;
    private final FlowRecord mRecord;
    private final FinalAnswer mFinal;
    private final long mReadAt;
    private final RequestPlacement mPlacement;
    private final AttemptTally mTally = new AttemptTally();
    private final GiveUp mGiveUp;
    private TrafficConfig mConfig;
    private Admission mAdmission;
    private Attempt mAttempt;
    private boolean mStreaming;
    private boolean mDone;
    private String mLastId;

    RequestFlow(RouterContext context, CallerRequest request, CallerSink sink) {
        mContext = context;
        mRequest = request;
        mSink = sink;
        mContent = request.contentHash();
        mQuarantine = new QuarantineCheck(context.knowledge().quarantine(), mContent);
        mRecord = new FlowRecord(context, request, mContent);
        mFinal = new FinalAnswer(context, request, sink, this::finish);
        mPlacement = new RequestPlacement(context, request);
        mGiveUp = new GiveUp(context, mFinal, mTally, mPlacement);
        mReadAt = context.now();
    }

    // ---------------------------------------------------------------- beginning

    void start() {
        mContext.flows().add(this);
        mContext.intake().add(this);
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
    public Intake.Readiness prepare() {
        if (!mContext.knowledge().isComplete()) {
            return Intake.Readiness.NOT_YET;
        }
        if (mConfig != mContext.knowledge().config()) {
            check(mContext.knowledge().config());
        }
        return mDone ? Intake.Readiness.DONE : Intake.Readiness.READY;
    }

    private void check(TrafficConfig config) {
        mConfig = config;
        Gate.Verdict verdict = Gate.check(config, mRequest);
        if (verdict instanceof Gate.Passed p) {
            admit(p);
        } else {
            mFinal.turnAway((Gate.TurnedAway) verdict);
        }
    }

    private void admit(Gate.Passed p) {
        mAdmission = Admission.of(mConfig, p, mRequest);
        if (route().kind() == RouteKind.RESUMABLE) {
            mLastId = mRequest.head().lastEventId().orElse(null);
        }
    }

    private Route route() {
        return mAdmission.route();
    }

    private String pool() {
        return mAdmission.pool();
    }

    @Override
    public void begin() {
        mContext.budgets().pool(pool()).onRequest(mContext.now());
        mContext.knowledge().seats().onRequest(pool());
        attempt();
    }

    // ---------------------------------------------------------------- attempts

    private void attempt() {
        if (!mAdmission.leavesTime(mContext.now())) {
            giveUp("no_time");
            return;
        }
        if (!mQuarantine.maySend()) {
            refuseOrTry();
            return;
        }
        Optional<Pick> pick = mPlacement.next(mAdmission);
        if (pick.isEmpty()) {
            waitOrGiveUp();
            return;
        }
        Target t = pick.get().target();
        mRecord.onChoice(
                new FlowRecord.Choice(
                        pool(), pick.get(), mPlacement.key(), mPlacement.sharedTokens()));
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
    private void waitOrGiveUp() {
        OptionalLong freeIn = mPlacement.freeAgainIn(mAdmission);
        long until = mContext.now() + freeIn.orElse(0);
        if (freeIn.isEmpty() || !mAdmission.mayWait(mRequest.receivedMillis(), until)) {
            giveUp(mPlacement.whyNone(mAdmission, freeIn.isPresent()));
            return;
        }
        mPlacement.forgetTried();
        mRecord.onWait(freeIn.getAsLong());
        mContext.timer().after(freeIn.getAsLong(), this::attemptUnlessDone);
    }

    private void attemptUnlessDone() {
        if (!mDone) {
            attempt();
        }
    }

    /** Targets have ended under the request: it gets no other, but for a trial now and then. */
    private void refuseOrTry() {
        if (!mQuarantine.mayAsk()) {
            mGiveUp.endQuarantined(mQuarantine.backInMillis(), mAdmission, mStreaming);
            return;
        }
        mQuarantine.ask(this::attemptUnlessDone);
    }

    @Override
    public boolean maySend() {
        return mQuarantine.maySend();
    }

    private FullHttpRequest requestFor(Target t) {
        mTally.onSent();
        return OutgoingRequest.of(mContext.protocol(), mRequest, handover(t));
    }

    private Handover handover(Target t) {
        return new Handover(
                t.entry().id(),
                mAdmission.leftMillis(mContext.now()),
                mAdmission.team().map(Team::name),
                mAdmission.priority(),
                Optional.ofNullable(mLastId),
                mPlacement.copyFrom(t, pool()));
    }

    @Override
    public void onEnd(Attempt a, AttemptEnd end) {
        mAttempt = null;
        long now = mContext.now();
        mContext.counters().onAttempt(end.kind().name());
        end.teach(a.target(), mContext.errors(pool()), now);
        boolean answered = end.kind() == AttemptEnd.Kind.ANSWERED && !a.isTurnedAway();
        mQuarantine.onAttemptEnd(end.kind().mayHaveRun(), answered);
        rememberLastId(a);
        if (end.kind() == AttemptEnd.Kind.ANSWERED) {
            if (!mDone) {
                finishAnswered(a);
            }
            return;
        }
        mTally.onFailed(end.kind().mayHaveRun());
        if (end.kind() == AttemptEnd.Kind.BROKEN) {
            mContext.crashes()
                    .onBroken(a.target(), mContent, a.answeringMillis(now), () -> goOn(a, end));
            return;
        }
        goOn(a, end);
    }

    /** Decides what follows an attempt that brought no answer. */
    private void goOn(Attempt a, AttemptEnd end) {
        if (mDone) {
            return;
        }
        mRecord.onAttemptEnd(a, end, mTally.sent());
        if (mayTryAgain(end, mContext.now())) {
            attempt();
            return;
        }
        finishFailed(a, end);
    }

    private boolean mayTryAgain(AttemptEnd end, long now) {
        boolean tooLate = mStreaming && mLastId == null;
        return !mAdmission.isOver(now)
                && mTally.allowsAnother(
                        end, route(), tooLate, () -> mContext.budgets().pool(pool()).tryRetry(now));
    }

    // ---------------------------------------------------------------- streams

    @Override
    public void onStream(Attempt a) {
        if (mStreaming) {
            return; // a continued stream keeps the head of its first target
        }
        mStreaming = true;
        mContext.counters().onFirstByte(mContext.now() - mRequest.receivedMillis());
        mSink.begin(mContext.answers().streamHead(a.head()));
    }

    @Override
    public void onEvents(Attempt a, ByteBuf bytes) {
        mSink.part(bytes);
        if (!mSink.isWritable()) {
            a.setReading(false);
        }
    }

    void onWritable(boolean writable) {
        if (mAttempt != null) {
            mAttempt.setReading(writable);
        }
    }

    // ---------------------------------------------------------------- time

    /** Refuses a request for which a router that has just started could not learn enough. */
    private void refuseIfIgnorant(long now) {
        if (now - mReadAt > AWAIT_KNOWLEDGE_MILLIS) {
            mConfig = mContext.knowledge().config();
            mFinal.refuseIgnorant(IGNORANT_BACK_MILLIS);
        }
    }

    /** Looks after time: the deadline, and targets that have gone silent. */
    void onTick(long now) {
        if (mDone) {
            return;
        }
        if (mConfig == null) {
            refuseIfIgnorant(now);
            return;
        }
        if (mAdmission.isOver(now)) {
            onDeadline();
            return;
        }
        if (mAttempt != null && isStuck(mAttempt, now)) {
            replaceStuck(now);
        }
    }

    private boolean isStuck(Attempt a, long now) {
        if (!mTally.leavesRepeats(route())) {
            return false;
        }
        return Patience.isOver(
                route(), a.silentMillis(now), a.target().silentMillis(now), mStreaming);
    }

    private void replaceStuck(long now) {
        if (mContext.budgets().pool(pool()).remaining(now) < 1) {
            return;
        }
        Attempt a = mAttempt;
        a.cancel();
        onEnd(a, AttemptEnd.of(AttemptEnd.Kind.GIVEN_UP, "silent " + a.silentMillis(now) + " ms"));
    }

    private void rememberLastId(Attempt a) {
        a.splitter().lastId().ifPresent(id -> mLastId = id);
    }

    private void onDeadline() {
        if (mAttempt != null) {
            Attempt a = mAttempt;
            mAttempt = null;
            mTally.onFailed(a.isSent());
            a.cancel();
            mContext.counters().onAttempt("DEADLINE");
            if (a.isSent() && a.target().isSilent(mContext.now())) {
                a.target().health().onFailure(mContext.now());
            }
        }
        giveUp("deadline");
    }

    // ---------------------------------------------------------------- ending

    private void finishAnswered(Attempt a) {
        mContext.comeBack(pool()).onServed(mContext.now());
        mPlacement.onAnswered(pool(), a.target());
        if (route().kind().isStream() && mStreaming) {
            mFinal.endStream();
        } else {
            mFinal.pass(a);
        }
    }

    private void finishFailed(Attempt a, AttemptEnd end) {
        if (end.kind() == AttemptEnd.Kind.FAILED && !mStreaming && passesAsIs(a)) {
            mFinal.passFailure(a);
            return;
        }
        giveUp(end.kind().name().toLowerCase(Locale.ROOT));
    }

    /** A 503 says that the request has not run; a target's that has run is not passed on. */
    private static boolean passesAsIs(Attempt a) {
        return a.head().status().code() != HttpResponseStatus.SERVICE_UNAVAILABLE.code();
    }

    private void giveUp(String why) {
        mGiveUp.end(why, mAdmission, mStreaming);
    }

    private void finish(String outcome) {
        mDone = true;
        mContext.flows().remove(this);
        Optional<Admission> admitted = Optional.ofNullable(mAdmission);
        mRecord.onEnd(
                outcome,
                new FlowRecord.Summary(
                        admitted.map(a -> a.route().name()).orElse(""),
                        admitted.flatMap(Admission::team).map(Team::name).orElse(""),
                        mConfig == null ? 0 : mConfig.version(),
                        mTally.sent(),
                        mPlacement.copySource()));
    }

    /** The caller has gone: nothing is sent any more, and the target sees its connection close. */
    void onCallerGone() {
        if (mDone) {
            return;
        }
        if (mAttempt != null) {
            mAttempt.cancel();
            mAttempt = null;
        }
        finish("caller_gone");
    }
}
