package org.forkseam.direct.flow;

import org.forkseam.core.admit.ColdGate;
import org.forkseam.core.member.ErrorRate;
import org.forkseam.core.outcome.ComeBack;
import org.forkseam.core.route.CandidateFilter;
import org.forkseam.core.route.RegionFilter;
import org.forkseam.core.route.TargetPicker;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.DecisionLog;
import org.forkseam.direct.know.Knowledge;
import org.forkseam.direct.spi.CallerProtocol;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Holds what all requests of a router share. Used on the event loop. */
final class RouterContext {
    private final Clock mClock;
    private final CallerProtocol mProtocol;
    private final Knowledge mKnowledge;
    private final Targets mTargets;
    private Placing mPlacing;
    private final ColdGate mColdGate;
    private final CrashWatch mCrashes;
    private final RepeatBudgets mBudgets;
    private final Answers mAnswers;
    private final FlowCounters mCounters;
    private final Arrivals mArrivals;
    private final Intake mIntake;
    private final LoopLag mLag;
    private final Timer mTimer;
    private final Map<String, ComeBack> mComeBack = new HashMap<>();
    private final Map<String, ErrorRate> mErrors = new HashMap<>();
    private final Set<RequestFlow> mFlows = new LinkedHashSet<>();
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private final DecisionLog mDecisions = DecisionLog.of(DecisionLog.DEFAULT_SIZE);
    private boolean mLeaving;

    /**
     * Holds how targets are chosen.
     *
     * @param filter leaves out targets that cannot take a request
     * @param engines chooses among model engines
     * @param services chooses among the targets of plain services
     * @param regions leaves out targets of regions that are not allowed
     */
    record Placing(
            CandidateFilter filter,
            TargetPicker engines,
            TargetPicker services,
            RegionFilter regions) {
        Placing withEngines(TargetPicker picker) {
            return new Placing(filter, picker, services, regions);
        }
    }

    /** Runs tasks on the event loop later. */
    interface Timer {
        /** Runs a task after so many milliseconds. */
        void after(long millis, Runnable task);
    }

    /** Holds the parts a context is made of. */
    record Parts(
            Clock clock,
            CallerProtocol protocol,
            Knowledge knowledge,
            Targets targets,
            Placing placing,
            ColdGate coldGate,
            RepeatBudgets budgets,
            Answers answers,
            FlowCounters counters,
            Arrivals arrivals,
            Intake.Turns turns,
            Timer timer) {}

    private RouterContext(Parts p) {
        mClock = p.clock();
        mProtocol = p.protocol();
        mKnowledge = p.knowledge();
        mTargets = p.targets();
        mPlacing = p.placing();
        mColdGate = p.coldGate();
        mCrashes = new CrashWatch(p.targets(), p.knowledge().quarantine());
        mBudgets = p.budgets();
        mAnswers = p.answers();
        mCounters = p.counters();
        mArrivals = p.arrivals();
        mIntake = new Intake(mClock, mArrivals, p.turns());
        mLag = new LoopLag(Arrivals.TURN_MILLIS, mClock.nowMillis());
        mTimer = p.timer();
    }

    static RouterContext of(Parts parts) {
        return new RouterContext(parts);
    }

    long now() {
        return mClock.nowMillis();
    }

    /** Returns the notes on when requests come. */
    Arrivals arrivals() {
        return mArrivals;
    }

    /** Returns what orders the requests that have been read. */
    Intake intake() {
        return mIntake;
    }

    /** Returns what tells the refused callers of a pool when to come back. */
    ComeBack comeBack(String pool) {
        return mComeBack.computeIfAbsent(pool, p -> ComeBack.since(now()));
    }

    /** Returns the share of a pool's requests that fail. */
    ErrorRate errors(String pool) {
        return mErrors.computeIfAbsent(pool, p -> new ErrorRate());
    }

    /** Returns what runs tasks later. */
    Timer timer() {
        return mTimer;
    }

    /** Returns the watch on the event loop. */
    LoopLag lag() {
        return mLag;
    }

    CallerProtocol protocol() {
        return mProtocol;
    }

    Knowledge knowledge() {
        return mKnowledge;
    }

    Targets targets() {
        return mTargets;
    }

    Placing placing() {
        return mPlacing;
    }

    void setPlacing(Placing placing) {
        mPlacing = placing;
    }

    ColdGate coldGate() {
        return mColdGate;
    }

    /** Returns what finds out which targets have ended, and under which requests. */
    CrashWatch crashes() {
        return mCrashes;
    }

    DecisionLog decisions() {
        return mDecisions;
    }

    RepeatBudgets budgets() {
        return mBudgets;
    }

    Answers answers() {
        return mAnswers;
    }

    FlowCounters counters() {
        return mCounters;
    }

    Set<RequestFlow> flows() {
        return mFlows;
    }

    Set<CallerConnection> connections() {
        return mConnections;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    void leave() {
        mLeaving = true;
    }
}
