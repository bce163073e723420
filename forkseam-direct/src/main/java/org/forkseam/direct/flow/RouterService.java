package org.forkseam.direct.flow;

import io.micrometer.core.instrument.binder.MeterBinder;
import io.netty.channel.EventLoop;

import org.forkseam.core.admit.ColdGate;
import org.forkseam.core.kernel.Service;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetStart;
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
import org.forkseam.direct.io.EarlyListener;
import org.forkseam.direct.know.Knowledge;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.CallerProtocol;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Takes callers' requests and has them run by targets. All state is on the event loop.
 *
 * @since 0.2
 */
public final class RouterService implements Service {
    /** Name of the service. */
    public static final String NAME = "router";

    /** Deadlines and silent targets are looked for so often. */
    private static final long TICK_MILLIS = Arrivals.TURN_MILLIS;

    /** Connections are looked through so often. */
    private static final long TIDY_MILLIS = 500;

    /** The balancer has noticed by then that this router takes no new connections. */
    private static final long BALANCER_MILLIS = 2_600;

    /** The process ends so long before it would be killed. */
    private static final long STOP_MARGIN_MILLIS = 400;

    /** Share of the pool's mean that a home may carry before requests spill. Origin: rounds. */
    private static final double HOME_SHARE_OF_CAP = 1.0;

    private static final int HOME_MARGIN = 2;

    /** Routers reckoned with at least when what all may use is divided: some may not be known. */
    private static final int MIN_ROUTERS = 4;

    /** Part of the repeats allowed besides a share that is used; one router may be unknown. */
    private static final double ALLOWANCE_SHARE = 0.7;

    private final EventLoop mLoop;
    private final EarlyListener mListener;
    private final Knowledge mKnowledge;
    private final RouterContext mContext;
    private final CallerServer mServer;
    private RouterSettings.Bounds mBounds;
    private CompletableFuture<Void> mStopped;
    private long mLeaveAt;
    private long mTidiedAt;

    private RouterService(EventLoop loop, Clock clock, RouterSettings settings, Parts p) {
        mLoop = loop;
        mListener = p.listener();
        mKnowledge = p.knowledge();
        mBounds = settings.bounds();
        mContext =
                RouterContext.of(
                        new RouterContext.Parts(
                                clock,
                                p.protocol(),
                                p.knowledge(),
                                new Targets(Connector.of(loop), clock),
                                new RouterContext.Placing(
                                        CandidateFilter.of(p.random()),
                                        homePicker(mBounds),
                                        LeastLoadedPicker.of(p.random()),
                                        RegionFilter.of(settings.regions())),
                                ColdGate.of(p.knowledge()::shareFor, mBounds.coldOvershoot()),
                                new RepeatBudgets(repeats(mBounds), this::routers),
                                new Answers(p.protocol(), p.random()),
                                new FlowCounters(),
                                new Arrivals(clock, p.listener().openedMillis(clock)),
                                turns(loop),
                                timer(loop)));
        mServer = new CallerServer(loop, mContext);
    }

    private static Intake.Turns turns(EventLoop loop) {
        return new Intake.Turns() {
            @Override
            public void inThisTurn(Runnable task) {
                loop.execute(task);
            }

            @Override
            public void inNextTurn(Runnable task) {
                loop.schedule(task, 0, TimeUnit.MILLISECONDS); // looked for once a turn
            }
        };
    }

    private static RouterContext.Timer timer(EventLoop loop) {
        return (millis, task) -> loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private static TargetPicker homePicker(RouterSettings.Bounds b) {
        return BoundedLoadPicker.of(b.loadMultiple() * HOME_SHARE_OF_CAP, HOME_MARGIN);
    }

    private static RepeatBudgets.Bounds repeats(RouterSettings.Bounds b) {
        return new RepeatBudgets.Bounds(
                b.repeatShare(), b.repeatAllowance() * ALLOWANCE_SHARE, b.repeatWindowMillis());
    }

    /**
     * Holds what a router works with.
     *
     * @param listener where callers connect
     */
    public record Parts(
            EarlyListener listener,
            Knowledge knowledge,
            CallerProtocol protocol,
            RandomGenerator random) {}

    /** Creates the service. */
    public static RouterService of(
            EventLoop loop, Clock clock, RouterSettings settings, Parts parts) {
        return new RouterService(loop, clock, settings, parts);
    }

    // ---------------------------------------------------------------- life-cycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public List<String> dependencies() {
        return List.of(Knowledge.NAME);
    }

    @Override
    public CompletableFuture<Void> start() {
        mLoop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return mServer.serve(mListener)
                .thenRun(
                        () ->
                                Event.always("callers_listen")
                                        .with("address", mListener.address())
                                        .log());
    }

    /**
     * Stops without cutting a request: answers end their connections, idle ones are closed once the
     * balancer sends no new callers, and the process goes on until the last answer is out or the
     * time given is over.
     */
    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    mStopped = stopped;
                    mLeaveAt = mContext.now();
                    mContext.leave();
                    Event.always("router_leaving").with("in_flight", mContext.flows().size()).log();
                });
        return stopped;
    }

    /** Puts other bounds in force; requests under way keep what was decided on them. */
    public void reload(RouterSettings.Bounds bounds) {
        mLoop.execute(
                () -> {
                    mBounds = bounds;
                    mContext.setPlacing(mContext.placing().withEngines(homePicker(bounds)));
                    mContext.coldGate().setOvershoot(bounds.coldOvershoot());
                    mContext.budgets().setBounds(repeats(bounds));
                });
    }

    /** Returns what was decided on the latest requests; read on the event loop. */
    public DecisionLog decisions() {
        return mContext.decisions();
    }

    /** Returns the counts, to be bound to a registry on the event loop. */
    public MeterBinder meters() {
        return mContext.counters();
    }

    /** Returns whether the balancer should send callers here. */
    public boolean isReady() {
        return !mContext.isLeaving() && mKnowledge.isComplete();
    }

    @Override
    public Object dump() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("in_flight", mContext.flows().size());
        m.put("waiting", mContext.intake().size());
        m.put("loop_late_ms", mContext.lag().latenessMillis());
        m.put("callers", mContext.connections().size());
        m.put("target_connections", mContext.targets().open());
        m.put("target_connections_opened", mContext.targets().opened());
        m.put("cold_passed_over", mContext.coldGate().passedOver());
        m.put("target_crashes", mContext.crashes().crashes());
        m.put("leaving", mContext.isLeaving());
        m.put("targets", mKnowledge.targets().all().stream().map(this::dump).toList());
        return m;
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
        m.put("share", t.health().share(now));
        m.put("state", t.availability().state(now));
        m.put("takes_work", t.takesWork(now));
        return m;
    }

    // ---------------------------------------------------------------- time

    private void tick() {
        long now = mContext.now();
        mContext.lag().onTick(now);
        mContext.intake().onTick();
        List.copyOf(mContext.flows()).forEach(f -> f.onTick(now));
        if (now - mTidiedAt >= TIDY_MILLIS) {
            mTidiedAt = now;
            tidy(now);
        }
        if (mStopped != null) {
            leave(now);
        }
    }

    private void tidy(long now) {
        Map<TargetStart, Target> known = new HashMap<>();
        for (Target t : mKnowledge.targets().all()) {
            known.put(t.start(), t);
            mContext.targets().limit(t, mKnowledge.config().pool(t.entry().pool()), routers());
        }
        mContext.targets().tidy(known);
        CallerLimits limits = mKnowledge.config().limits();
        List.copyOf(mContext.connections()).forEach(c -> c.closeIfStale(now, limits));
    }

    private int routers() {
        return Math.max(MIN_ROUTERS, mKnowledge.routers());
    }

    private void leave(long now) {
        long since = now - mLeaveAt;
        if (since < BALANCER_MILLIS) {
            return;
        }
        mServer.stopListening();
        List.copyOf(mContext.connections()).forEach(CallerConnection::closeIfIdle);
        boolean busy = mContext.connections().stream().anyMatch(CallerConnection::isBusy);
        boolean late = since > mBounds.stopMillis() - STOP_MARGIN_MILLIS;
        if (busy && !late) {
            return;
        }
        Event.always("router_left").with("in_flight", mContext.flows().size()).log();
        mStopped.complete(null);
        mStopped = null;
    }
}
