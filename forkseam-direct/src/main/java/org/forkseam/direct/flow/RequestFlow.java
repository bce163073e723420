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
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Carries one request from its reading to its final answer. Used on the event loop.
 *
 * <p>One attempt is under way at a time; whether another follows is decided by {@link
 * AttemptTally}.
 */
final class RequestFlow implements AttemptListener, Intake.Item {
    /** The final answer goes out so long before the caller stops waiting. */
    private static final long ANSWER_MARGIN_MILLIS = 60;

    /** A request waits so long for a router that has just started; then it is refused. */
    private static final long AWAIT_KNOWLEDGE_MILLIS = 600;

    /** By then such a router knows enough, or the balancer has taken it out. Unit: ms. */
    private static final long IGNORANT_BACK_MILLIS = 500;

    /**
     * Share of its objective that a request must have left to be sent: with less, an answer hardly
     * comes before the caller gives up, and the target works in vain. Origin: the operators, who do
     * not count such an attempt as one; what it saves was not measured.
     */
    private static final double LEAST_SHARE_LEFT = 0.1;

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
    private TrafficConfig mConfig;
    private Route mRoute;
    private Optional<Team> mTeam = Optional.empty();
    private String mPool = "";
    private long mDeadline;
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
        mRoute = p.route();
        mTeam = p.team();
        mPool = mRoute.pool(mRequest.id());
        if (mRoute.kind() == RouteKind.RESUMABLE) {
            mLastId = mRequest.head().lastEventId().orElse(null);
        }
        long wait = mRequest.head().waitMillis().orElse(Long.MAX_VALUE);
        long held = Math.min(wait, mRoute.timeoutMillis());
        mDeadline = mRequest.receivedMillis() + held - ANSWER_MARGIN_MILLIS;
    }

    @Override
    public void begin() {
        mContext.budgets().pool(mPool).onRequest(mContext.now());
        mContext.knowledge().seats().onRequest(mPool);
        attempt();
    }

    // ---------------------------------------------------------------- attempts

    private void attempt() {
        if (mDeadline - mContext.now() < LEAST_SHARE_LEFT * mRoute.latencyMillis()) {
            giveUp("no_time");
            return;
        }
        if (!mQuarantine.maySend()) {
            refuseOrTry();
            return;
        }
        Optional<Pick> pick = mPlacement.next(mConfig, mRoute, mTeam, mPool);
        if (pick.isEmpty()) {
            giveUp(mPlacement.whyNone(mConfig, mPool));
            return;
        }
        Target t = pick.get().target();
        mRecord.onChoice(
                new FlowRecord.Choice(
                        mPool, pick.get(), mPlacement.key(), mPlacement.sharedTokens()));
        mAttempt =
                new Attempt(
                        mContext,
                        t,
                        mRequest.id(),
                        mRoute.kind().isStream(),
                        () -> requestFor(t),
                        this);
        mAttempt.start(maxIdleMillis());
    }

    /** Targets have ended under the request: it gets no other, but for a trial now and then. */
    private void refuseOrTry() {
        if (!mQuarantine.mayAsk()) {
            giveUpQuarantined();
            return;
        }
        mQuarantine.ask(
                () -> {
                    if (!mDone) {
                        attempt();
                    }
                });
    }

    @Override
    public boolean maySend() {
        return mQuarantine.maySend();
    }

    /** A kept connection may have been forgotten: what cannot be repeated avoids old ones. */
    private long maxIdleMillis() {
        return mRoute.kind().isRepeatable() ? 5_000 : 2_000;
    }

    private FullHttpRequest requestFor(Target t) {
        mTally.onSent();
        return OutgoingRequest.of(mContext.protocol(), mRequest, handover(t));
    }

    private Handover handover(Target t) {
        int priority =
                mTeam.map(Team::priority).orElse(OptionalInt.empty()).orElse(mRoute.priority());
        return new Handover(
                t.entry().id(),
                Math.max(1, mDeadline - mContext.now()),
                mTeam.map(Team::name),
                priority,
                Optional.ofNullable(mLastId),
                mPlacement.copyFrom(t, mPool));
    }

    @Override
    public void onEnd(Attempt a, AttemptEnd end) {
        mAttempt = null;
        long now = mContext.now();
        mContext.counters().onAttempt(end.kind().name());
        end.teach(a.target(), mContext.errors(mPool), now);
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
        return now < mDeadline
                && mTally.allowsAnother(
                        end, mRoute, tooLate, () -> mContext.budgets().pool(mPool).tryRepeat(now));
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
        if (now >= mDeadline) {
            onDeadline();
            return;
        }
        if (mAttempt != null && isStuck(mAttempt, now)) {
            replaceStuck(now);
        }
    }

    private boolean isStuck(Attempt a, long now) {
        if (!mTally.leavesRepeats(mRoute)) {
            return false;
        }
        return Patience.isOver(
                mRoute, a.silentMillis(now), a.target().silentMillis(now), mStreaming);
    }

    private void replaceStuck(long now) {
        if (mContext.budgets().pool(mPool).left(now) < 1) {
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
        mContext.comeBack(mPool).onServed(mContext.now());
        mPlacement.onAnswered(mPool, a.target());
        if (mRoute.kind().isStream() && mStreaming) {
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
        if (failIfBegun(why)) {
            return;
        }
        long backIn = mContext.comeBack(mPool).onRefused(mContext.now());
        OptionalLong freeIn = mPlacement.freeAgainIn(mPool);
        if (freeIn.isPresent()) {
            mFinal.refuseBefore(why, freeIn.getAsLong());
        } else {
            mFinal.refuse(why, backIn);
        }
    }

    /** Ends a request under which targets end. */
    private void giveUpQuarantined() {
        if (!failIfBegun("quarantined")) {
            mFinal.refuseQuarantined(mQuarantine.backInMillis());
        }
    }

    /** Ends a request that may have run, or returns false if it has certainly not. */
    private boolean failIfBegun(String why) {
        if (mStreaming) {
            mFinal.breakOff();
            return true;
        }
        if (mTally.mayHaveRun()) {
            mFinal.fail(why, mContext.now() >= mDeadline);
            return true;
        }
        return false;
    }

    private void finish(String outcome) {
        mDone = true;
        mContext.flows().remove(this);
        mRecord.onEnd(
                outcome,
                new FlowRecord.Summary(
                        mRoute == null ? "" : mRoute.name(),
                        mTeam.map(Team::name).orElse(""),
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
