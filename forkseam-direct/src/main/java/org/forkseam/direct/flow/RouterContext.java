package org.forkseam.direct.flow;

import org.forkseam.core.admit.ColdStartLimiter;
import org.forkseam.core.admit.DrainPolicy;
import org.forkseam.core.admit.MemoryBudget;
import org.forkseam.core.load.PrefillRate;
import org.forkseam.core.member.ErrorRate;
import org.forkseam.core.outcome.AttemptPatience;
import org.forkseam.core.outcome.RecentMaximum;
import org.forkseam.core.outcome.RetryDelayEstimator;
import org.forkseam.core.route.CandidateFilter;
import org.forkseam.core.route.RegionFilter;
import org.forkseam.core.route.TargetPicker;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.DecisionLog;
import org.forkseam.direct.io.ReadBarrier;
import org.forkseam.direct.know.FleetState;
import org.forkseam.direct.spi.HeaderCodec;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** State shared by all requests of a router. Used on the event loop. */
final class RouterContext {
    /** Window of the longest time that requests of a route took. */
    private static final long DURATION_WINDOW_MILLIS = 30_000;

    private final Clock mClock;
    private final HeaderCodec mHeaderCodec;
    private final FleetState mFleetState;
    private final TargetConnections mTargetConnections;
    private Selectors mSelectors;
    private final ColdStartLimiter mColdStartLimiter;
    private final CrashDetector mCrashDetector;
    private final LivenessCheck mLivenessCheck;
    private final MemoryBudget mMemory;
    private final RetryBudgets mRetryBudgets;
    private final ResponseFactory mResponses;
    private final RequestMeters mMeters;
    private final LoadReports mLoadReports;
    private final ArrivalTracker mArrivalTracker;
    private final RequestQueue mRequestQueue;
    private final ReadBarrier mReadBarrier;
    private final EventLoopLag mLoopLag;
    private final Map<String, RetryDelayEstimator> mRetryDelays = new HashMap<>();
    private final Map<String, ErrorRate> mErrorRates = new HashMap<>();
    private final Map<String, AttemptPatience> mAttemptPatience = new HashMap<>();
    private final Map<String, PrefillRate> mPrefillRates = new HashMap<>();
    private final Set<RequestFlow> mActiveRequests = new LinkedHashSet<>();
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();

    /** Connections that wait for memory, in this order, and those of slow readers. */
    private final Set<CallerConnection> mMemoryUsers = new LinkedHashSet<>();

    private final DecisionLog mDecisions = DecisionLog.of(DecisionLog.DEFAULT_SIZE);
    private final PoolAdmissions mAdmissions;
    private final Map<String, RecentMaximum> mDurations = new HashMap<>();
    private boolean mContended;
    private Optional<DrainPolicy> mDrainPolicy = Optional.empty();

    /**
     * Strategies for selecting targets.
     *
     * @param candidateFilter excludes targets that cannot take a request
     * @param enginePicker selects among model engines
     * @param servicePicker selects among targets of plain services
     * @param homeRegions excludes targets in regions that are not allowed
     */
    record Selectors(
            CandidateFilter candidateFilter,
            TargetPicker enginePicker,
            TargetPicker servicePicker,
            RegionFilter homeRegions) {
        Selectors withEnginePicker(TargetPicker picker) {
            return new Selectors(candidateFilter, picker, servicePicker, homeRegions);
        }
    }

    /** Components of a context. */
    record Parts(
            Clock clock,
            HeaderCodec headerCodec,
            FleetState fleetState,
            TargetConnections targetConnections,
            Selectors selectors,
            ColdStartLimiter coldStartLimiter,
            RetryBudgets retryBudgets,
            ResponseFactory responses,
            RequestMeters meters,
            ArrivalTracker arrivalTracker,
            RequestQueue.LoopScheduler loopScheduler,
            ReadBarrier readBarrier,
            MemoryBudget memory,
            RandomGenerator random) {}

    private RouterContext(Parts p) {
        mClock = p.clock();
        mHeaderCodec = p.headerCodec();
        mFleetState = p.fleetState();
        mTargetConnections = p.targetConnections();
        mSelectors = p.selectors();
        mColdStartLimiter = p.coldStartLimiter();
        mRetryBudgets = p.retryBudgets();
        mResponses = p.responses();
        mMeters = p.meters();
        mLoadReports = new LoadReports(p.clock(), p.meters());
        mArrivalTracker = p.arrivalTracker();
        mRequestQueue = new RequestQueue(mClock, mArrivalTracker, p.loopScheduler());
        mLoopLag = new EventLoopLag(ArrivalTracker.ITERATION_MILLIS, mClock.nowMillis());
        mReadBarrier = p.readBarrier();
        mMemory = p.memory();
        mLivenessCheck = new LivenessCheck(this);
        mCrashDetector =
                new CrashDetector(
                        p.targetConnections(),
                        p.fleetState().quarantine(),
                        mLivenessCheck::hasEnded);
        mAdmissions = new PoolAdmissions(mClock, p.random(), mReadBarrier, mMeters);
    }

    static RouterContext of(Parts parts) {
        return new RouterContext(parts);
    }

    long now() {
        return mClock.nowMillis();
    }

    ArrivalTracker arrivalTracker() {
        return mArrivalTracker;
    }

    RequestQueue requestQueue() {
        return mRequestQueue;
    }

    /** Returns the retry delay estimator of a pool. */
    RetryDelayEstimator retryDelay(String pool) {
        return mRetryDelays.computeIfAbsent(pool, p -> RetryDelayEstimator.startingAt(now()));
    }

    /** Returns the error rate of a pool. */
    ErrorRate errorRate(String pool) {
        return mErrorRates.computeIfAbsent(pool, p -> new ErrorRate());
    }

    /** Returns the rules for second attempts in a contended pool; empty for other pools. */
    Optional<AttemptPatience> attemptPatience(String pool) {
        return isContended(pool)
                ? Optional.of(mAttemptPatience.computeIfAbsent(pool, p -> AttemptPatience.create()))
                : Optional.empty();
    }

    /** Returns the state of second attempts in each contended pool, for the state dump. */
    Map<String, AttemptPatience.Snapshot> attemptPatienceSnapshots() {
        Map<String, AttemptPatience.Snapshot> snapshots = new TreeMap<>();
        mAttemptPatience.forEach((pool, p) -> snapshots.put(pool, p.snapshot(now())));
        return snapshots;
    }

    /** Returns the prefill rate of a pool's engines. */
    PrefillRate prefillRate(String pool) {
        return mPrefillRates.computeIfAbsent(pool, p -> PrefillRate.create());
    }

    /** Returns the prefill rate of each pool in tokens per millisecond. */
    Map<String, Double> prefillRates() {
        Map<String, Double> rates = new TreeMap<>();
        mPrefillRates.forEach((pool, r) -> rates.put(pool, r.tokensPerMilli()));
        return rates;
    }

    ReadBarrier readBarrier() {
        return mReadBarrier;
    }

    EventLoopLag loopLag() {
        return mLoopLag;
    }

    HeaderCodec headerCodec() {
        return mHeaderCodec;
    }

    FleetState fleetState() {
        return mFleetState;
    }

    TargetConnections targetConnections() {
        return mTargetConnections;
    }

    Selectors selectors() {
        return mSelectors;
    }

    void setSelectors(Selectors selectors) {
        mSelectors = selectors;
    }

    ColdStartLimiter coldStartLimiter() {
        return mColdStartLimiter;
    }

    /** Returns the admission to contended pools. */
    PoolAdmissions admissions() {
        return mAdmissions;
    }

    /** Returns the account of the memory of requests and responses. */
    MemoryBudget memory() {
        return mMemory;
    }

    /** Returns the connections whose memory is checked at each tick. */
    Set<CallerConnection> memoryUsers() {
        return mMemoryUsers;
    }

    LivenessCheck livenessCheck() {
        return mLivenessCheck;
    }

    CrashDetector crashDetector() {
        return mCrashDetector;
    }

    DecisionLog decisions() {
        return mDecisions;
    }

    RetryBudgets retryBudgets() {
        return mRetryBudgets;
    }

    ResponseFactory responses() {
        return mResponses;
    }

    RequestMeters meters() {
        return mMeters;
    }

    LoadReports loadReports() {
        return mLoadReports;
    }

    Set<RequestFlow> activeRequests() {
        return mActiveRequests;
    }

    Set<CallerConnection> connections() {
        return mConnections;
    }

    void setContended(boolean contended) {
        mContended = contended;
    }

    /** Returns whether a pool's callers may ask for more than its targets can serve. */
    boolean isContended(String pool) {
        return mContended
                || mFleetState.config().pool(pool).filter(Pool::hasScarceMemory).isPresent();
    }

    /**
     * Returns whether requests to a pool pass its admission. Not for engines: they queue by
     * priority themselves, and an answer is late there also because of a long prompt. Many routers
     * that see the same load report also send to the same target at once, which refuses requests
     * while others have room; admission would take that for a shortage.
     */
    boolean admitsByShare(String pool) {
        return isContended(pool) && mFleetState.config().pool(pool).filter(Pool::engine).isEmpty();
    }

    /** Returns how long requests of a route recently took until their final response. */
    RecentMaximum durations(String route) {
        return mDurations.computeIfAbsent(route, r -> RecentMaximum.of(DURATION_WINDOW_MILLIS));
    }

    boolean isDraining() {
        return mDrainPolicy.isPresent();
    }

    void startDraining(DrainPolicy policy) {
        mDrainPolicy = Optional.of(policy);
    }

    /** Returns whether a request may begin, which only a router that is stopping restricts. */
    boolean mayBegin(Admission a) {
        return mDrainPolicy.isEmpty()
                || mDrainPolicy
                        .get()
                        .mayBegin(
                                a.route().kind().isRepeatable(),
                                a.deadlineMillis(),
                                durations(a.route().name()).get(now()),
                                now());
    }
}
