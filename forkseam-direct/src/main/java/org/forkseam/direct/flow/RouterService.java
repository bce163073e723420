package org.forkseam.direct.flow;

import io.micrometer.core.instrument.binder.MeterBinder;
import io.netty.channel.EventLoop;

import org.forkseam.core.admit.ColdStartLimiter;
import org.forkseam.core.admit.DrainPolicy;
import org.forkseam.core.kernel.Service;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetIncarnation;
import org.forkseam.core.route.BoundedLoadPicker;
import org.forkseam.core.route.CandidateFilter;
import org.forkseam.core.route.LeastLoadedPicker;
import org.forkseam.core.route.RegionFilter;
import org.forkseam.core.route.TargetPicker;
import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.DecisionLog;
import org.forkseam.direct.RouterSettings;
import org.forkseam.direct.io.Connector;
import org.forkseam.direct.io.EarlyServerSocket;
import org.forkseam.direct.io.ReadBarrier;
import org.forkseam.direct.know.FleetState;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.log.GuardedSteps;
import org.forkseam.direct.spi.HeaderCodec;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Accepts requests from callers and forwards them to targets. All state is confined to the event
 * loop.
 *
 * @since 0.2
 */
public final class RouterService implements Service {
    /** Service name. */
    public static final String NAME = "router";

    /** Interval of the checks for deadlines and stalled attempts. */
    private static final long TICK_MILLIS = ArrivalTracker.ITERATION_MILLIS;

    /** Interval of the cleanup of stale connections. */
    private static final long CLEANUP_MILLIS = 500;

    /** Delay of a tick above which it is logged: timeouts of requests may have passed meanwhile. */
    private static final long LOGGED_STALL_MILLIS = 300;

    /** Time for the balancer to detect that this router is not ready any more. */
    private static final long BALANCER_DETECTION_MILLIS = 2_600;

    /** Time reserved to exit before the process would be killed. */
    private static final long STOP_MARGIN_MILLIS = 400;

    /** Time before that in which the responses to requests that did not end are sent. */
    private static final long FINAL_RESPONSE_MILLIS = 300;

    /**
     * Load of a home target, relative to the maximum load ratio, above which requests spill over to
     * other targets.
     */
    private static final double HOME_LOAD_FACTOR = 1.0;

    private static final int HOME_EXTRA_REQUESTS = 2;

    /** Minimum number of routers assumed when dividing connections, as some may be unknown. */
    private static final int MIN_ROUTER_COUNT = 4;

    private final EventLoop mLoop;
    private final EarlyServerSocket mListener;
    private final FleetState mFleetState;
    private final RouterContext mContext;
    private final GuardedSteps mSteps;
    private final CallerServer mServer;
    private RouterSettings.Bounds mBounds;
    private CompletableFuture<Void> mStopped;
    private long mDrainStartMillis;
    private long mLastCleanupMillis;
    private boolean mCheckPending;

    private RouterService(EventLoop loop, Clock clock, RouterSettings settings, Parts p) {
        mLoop = loop;
        mListener = p.listener();
        mFleetState = p.fleetState();
        mBounds = settings.bounds();
        mSteps = GuardedSteps.of(clock);
        MemoryLimits limits =
                MemoryLimits.of(settings.hostLimits(), Runtime.getRuntime().maxMemory());
        mContext =
                RouterContext.of(
                        new RouterContext.Parts(
                                clock,
                                p.headerCodec(),
                                p.fleetState(),
                                new TargetConnections(
                                        Connector.of(loop).withMaxOpen(limits.maxTargets()), clock),
                                new RouterContext.Selectors(
                                        CandidateFilter.of(p.random()),
                                        homePicker(mBounds),
                                        LeastLoadedPicker.of(p.random()),
                                        RegionFilter.of(settings.regions())),
                                ColdStartLimiter.of(
                                        p.fleetState()::shareFor,
                                        mBounds.coldOvershoot(),
                                        p.listener().openedMillis(clock)),
                                new RetryBudgets(
                                        retryBounds(mBounds), clock, p.fleetState()::knownRouters),
                                new ResponseFactory(p.headerCodec(), p.random()),
                                new RequestMeters(),
                                new ArrivalTracker(clock, p.listener().openedMillis(clock)),
                                loopScheduler(loop),
                                ReadBarrier.of(loop),
                                limits.newBudget(),
                                p.random()));
        mContext.setContended(mBounds.contended());
        mServer = new CallerServer(loop, mContext, limits.maxCallers());
    }

    private static RequestQueue.LoopScheduler loopScheduler(EventLoop loop) {
        return new RequestQueue.LoopScheduler() {
            @Override
            public void runThisIteration(Runnable task) {
                loop.execute(task);
            }

            @Override
            public void runNextIteration(Runnable task) {
                loop.schedule(
                        task,
                        0,
                        TimeUnit.MILLISECONDS); // scheduled tasks are polled once per iteration
            }
        };
    }

    private static TargetPicker homePicker(RouterSettings.Bounds b) {
        return BoundedLoadPicker.of(b.maxLoadRatio() * HOME_LOAD_FACTOR, HOME_EXTRA_REQUESTS);
    }

    private static RetryBudgets.Bounds retryBounds(RouterSettings.Bounds b) {
        return new RetryBudgets.Bounds(b.retryShare(), b.retryAllowance(), b.retryWindowMillis());
    }

    /**
     * Components of a router.
     *
     * @param listener the socket on which callers connect
     */
    public record Parts(
            EarlyServerSocket listener,
            FleetState fleetState,
            HeaderCodec headerCodec,
            RandomGenerator random) {}

    /** Creates the service. */
    public static RouterService of(
            EventLoop loop, Clock clock, RouterSettings settings, Parts parts) {
        return new RouterService(loop, clock, settings, parts);
    }

    // ---------------------------------------------------------------- lifecycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public List<String> dependencies() {
        return List.of(FleetState.NAME);
    }

    @Override
    public CompletableFuture<Void> start() {
        mLoop.scheduleAtFixedRate(
                mSteps.guard("tick", this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return mServer.serve(mListener)
                .thenRun(
                        () ->
                                Event.always("callers_listen")
                                        .with("address", mListener.address())
                                        .log());
    }

    /**
     * Shuts down gracefully: responses close their connections, idle connections are closed once
     * the balancer sends no new callers, and the future completes after the last response or at the
     * shutdown timeout.
     */
    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    mStopped = stopped;
                    mDrainStartMillis = mContext.now();
                    mContext.startDraining(
                            DrainPolicy.of(
                                    mDrainStartMillis + BALANCER_DETECTION_MILLIS,
                                    mDrainStartMillis + requestsEndAfterMillis()));
                    Event.always("router_leaving")
                            .with("in_flight", mContext.activeRequests().size())
                            .log();
                });
        return stopped;
    }

    /** Replaces the limits; active requests keep earlier decisions. */
    public void reload(RouterSettings.Bounds bounds) {
        mLoop.execute(
                () -> {
                    mBounds = bounds;
                    mContext.setSelectors(
                            mContext.selectors().withEnginePicker(homePicker(bounds)));
                    mContext.coldStartLimiter().setOvershoot(bounds.coldOvershoot());
                    mContext.retryBudgets().setBounds(retryBounds(bounds));
                    mContext.setContended(bounds.contended());
                });
    }

    /** Returns the decision log; read it on the event loop. */
    public DecisionLog decisions() {
        return mContext.decisions();
    }

    /** Returns the meters; bind them on the event loop. */
    public MeterBinder meters() {
        return registry -> {
            mContext.meters().bindTo(registry);
            surplus().bindTo(registry);
        };
    }

    private SurplusMeters surplus() {
        return SurplusMeters.of(mContext.targetConnections().surplus());
    }

    /** Returns whether the router is ready for callers. */
    public boolean isReady() {
        return !mContext.isDraining() && mFleetState.isComplete();
    }

    @Override
    public Object dump() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("in_flight", mContext.activeRequests().size());
        m.put("waiting", mContext.requestQueue().size());
        m.put("loop_late_ms", mContext.loopLag().lagMillis());
        m.put("callers", mContext.connections().size());
        m.put("unsent_bytes", unsentBytes());
        m.put("memory", mContext.memory().dump());
        m.put("request_body_bytes", mContext.memory().requestBytes());
        m.put("buffered_bytes", mContext.memory().responseBytes());
        m.put("target_connections", mContext.targetConnections().openCount());
        m.put("target_connections_opened", mContext.targetConnections().openedCount());
        m.put("surplus", surplus().dump());
        m.put("cold_passed_over", mContext.coldStartLimiter().skipped());
        m.put("target_crashes", mContext.crashDetector().crashCount());
        m.put("failed_steps", mSteps.failureCount());
        m.put("leaving", mContext.isDraining());
        m.put("retry_budgets", mContext.retryBudgets().usage(mContext.now()));
        m.put("retry_budget_routers", mContext.retryBudgets().routerCount().orElse(0));
        m.put("attempt_patience", mContext.attemptPatienceSnapshots());
        m.put("prefill_rates", mContext.prefillRates());
        m.put("admission", mContext.admissions().dump());
        m.put("targets", mFleetState.targets().all().stream().map(this::dump).toList());
        return m;
    }

    private long unsentBytes() {
        return mContext.connections().stream().mapToLong(CallerConnection::unsentBytes).sum();
    }

    private Object dump(Target t) {
        long now = mContext.now();
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("target", t.entry().id());
        m.put("pool", t.entry().pool());
        m.put("address", t.entry().address());
        m.put("domain", t.entry().domain());
        m.put("in_flight", t.inFlight());
        m.put("others", t.othersInFlight(now));
        m.put("waiting", t.waiting(now));
        m.put("slowdown", t.slowdown(now));
        m.put("share", t.health().trafficShare(now));
        m.put("state", t.availability().state(now));
        m.put("takes_work", t.acceptsRequests(now));
        return m;
    }

    // ---------------------------------------------------------------- periodic tasks

    private void tick() {
        long now = mContext.now();
        long late = mContext.loopLag().onTick(now);
        if (late > LOGGED_STALL_MILLIS) {
            Event.always("loop_stalled")
                    .with("late_ms", late)
                    .with("in_flight", mContext.activeRequests().size())
                    .log();
        }
        if (mCheckPending) {
            return;
        }
        if (!mayConcludeFromSilence(now)) {
            check(now);
            return;
        }
        mCheckPending = true;
        mContext.readBarrier()
                .afterReads(
                        () -> {
                            mCheckPending = false;
                            check(now);
                        });
    }

    /** Returns whether a check may have effects that unread input would prevent. */
    private boolean mayConcludeFromSilence(long now) {
        return mContext.arrivalTracker().isStalled()
                || mStopped != null
                || mContext.activeRequests().stream().anyMatch(f -> f.isTimedOut(now))
                || isCleanupDue(now) && !staleConnections(now).isEmpty();
    }

    /**
     * Checks for timeouts.
     *
     * @param readUntil time up to which all input has been read
     */
    private void check(long readUntil) {
        mSteps.run("queue", mContext.requestQueue()::onTick);
        mSteps.run("admissions", mContext.admissions()::onTick);
        List.copyOf(mContext.memoryUsers()).forEach(c -> mSteps.run("memory", c::onMemoryTick));
        for (RequestFlow f : List.copyOf(mContext.activeRequests())) {
            mSteps.run("request", () -> f.onTick(readUntil));
        }
        if (isCleanupDue(readUntil)) {
            mLastCleanupMillis = readUntil;
            mSteps.run("target_connections", this::closeUnusedConnections);
            mSteps.run("stale_callers", () -> closeStaleConnections(readUntil));
        }
        if (mStopped != null) {
            mSteps.run("draining", () -> continueDraining(readUntil));
        }
    }

    private void closeStaleConnections(long readUntil) {
        staleConnections(readUntil).forEach(CallerConnection::close);
    }

    private boolean isCleanupDue(long now) {
        return now - mLastCleanupMillis >= CLEANUP_MILLIS;
    }

    private List<CallerConnection> staleConnections(long now) {
        CallerLimits limits = mFleetState.config().limits();
        return mContext.connections().stream().filter(c -> c.isStale(now, limits)).toList();
    }

    private void closeUnusedConnections() {
        Map<TargetIncarnation, Target> known = new HashMap<>();
        for (Target t : mFleetState.targets().all()) {
            known.put(t.incarnation(), t);
            mContext.targetConnections()
                    .setLimit(t, mFleetState.config().pool(t.entry().pool()), routerCount());
        }
        mContext.targetConnections().closeUnused(known);
    }

    private int routerCount() {
        return Math.max(MIN_ROUTER_COUNT, mFleetState.routers());
    }

    /**
     * Returns how long after the stop signal requests get a final response, whatever their state.
     */
    private long requestsEndAfterMillis() {
        return mBounds.shutdownMillis() - STOP_MARGIN_MILLIS - FINAL_RESPONSE_MILLIS;
    }

    private void continueDraining(long now) {
        long elapsed = now - mDrainStartMillis;
        if (elapsed < BALANCER_DETECTION_MILLIS) {
            return;
        }
        mServer.closeListener();
        List.copyOf(mContext.connections()).forEach(CallerConnection::closeIfIdle);
        if (elapsed > requestsEndAfterMillis()) {
            List.copyOf(mContext.activeRequests()).forEach(RequestFlow::endForStop);
        }
        boolean busy = mContext.connections().stream().anyMatch(CallerConnection::isBusy);
        boolean late = elapsed > mBounds.shutdownMillis() - STOP_MARGIN_MILLIS;
        if (busy && !late) {
            return;
        }
        Event.always("router_left").with("in_flight", mContext.activeRequests().size()).log();
        mStopped.complete(null);
        mStopped = null;
    }
}
