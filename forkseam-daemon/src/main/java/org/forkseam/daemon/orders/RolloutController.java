package org.forkseam.daemon.orders;

import io.activej.eventloop.Eventloop;

import org.forkseam.core.kernel.Service;
import org.forkseam.core.orders.DeploymentSpec;
import org.forkseam.core.orders.EngineState;
import org.forkseam.core.orders.RolloutPlanner;
import org.forkseam.core.route.TargetView;
import org.forkseam.core.util.Clock;
import org.forkseam.daemon.net.LinkManager;
import org.forkseam.daemon.net.PacketListener;
import org.forkseam.daemon.share.Fleet;
import org.forkseam.daemon.share.FleetSync;
import org.forkseam.daemon.share.LeaseManager;
import org.forkseam.daemon.share.Ticker;
import org.forkseam.platform.TableService;
import org.forkseam.platform.WeightStore;
import org.forkseam.wire.Link;
import org.forkseam.wire.proto.Order;
import org.forkseam.wire.proto.OrderReply;
import org.forkseam.wire.proto.Packet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Competes for the deployments' leases and, as holder, orders engines into their declared state.
 *
 * <p>The engines' current state is polled from their sidecars, so a new lease holder needs no state
 * of its predecessor. Not thread-safe: runs on the event loop.
 *
 * @since 0.1
 */
public final class RolloutController implements Service, PacketListener {
    /** Service name. */
    public static final String NAME = "rollouts";

    private static final Logger LOG = LoggerFactory.getLogger(RolloutController.class);
    private static final long TICK_MILLIS = 500;
    private static final long STATE_POLL_INTERVAL_MILLIS = 1_500;
    private static final long REPLY_TIMEOUT_MILLIS = 6_000;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Dependencies mDependencies;
    private final String mHost;
    private final Ticker mTicker;
    private final Map<String, Rollout> mRollouts = new TreeMap<>();
    private final Map<Long, PendingOrder> mPendingOrders = new HashMap<>();
    private long mNextOrderId;

    /** Services that the controller depends on. */
    public record Dependencies(
            Fleet fleet,
            FleetSync sync,
            LinkManager links,
            TableService table,
            Optional<WeightStore> weights) {}

    /** An order or state query that awaits its reply. */
    private record PendingOrder(Rollout rollout, String target, long atMillis) {}

    /** State that a sidecar last reported for its engine. */
    private record ReportedState(EngineState state, boolean changing, long atMillis) {}

    private RolloutController(Eventloop loop, Clock clock, Dependencies dependencies, String host) {
        mLoop = loop;
        mClock = clock;
        mDependencies = dependencies;
        mHost = host;
        // Avoids reusing the ids of a previous incarnation of this daemon.
        mNextOrderId = clock.nowMillis() << 16;
        mTicker = Ticker.of(loop, () -> TICK_MILLIS, this::tick);
    }

    /** Creates the controller. */
    public static RolloutController of(
            Eventloop loop, Clock clock, Dependencies dependencies, String host) {
        return new RolloutController(loop, clock, dependencies, host);
    }

    // ---------------------------------------------------------------- life-cycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public List<String> dependencies() {
        return List.of(LinkManager.NAME, FleetSync.NAME);
    }

    @Override
    public CompletableFuture<Void> start() {
        mLoop.execute(() -> mDependencies.links().addListener(this));
        mTicker.start();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mTicker.stop();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Object dump() {
        Map<String, Object> out = new TreeMap<>();
        mRollouts.forEach((n, w) -> out.put(n, w.dump()));
        return out;
    }

    // ---------------------------------------------------------------- rollout

    private void tick() {
        long now = mClock.nowMillis();
        mPendingOrders.values().removeIf(a -> now - a.atMillis() > REPLY_TIMEOUT_MILLIS);
        Map<String, DeploymentSpec> declared = new TreeMap<>();
        mDependencies.fleet().config().deployments().forEach(d -> declared.put(d.name(), d));
        mRollouts.keySet().retainAll(declared.keySet());
        for (DeploymentSpec d : declared.values()) {
            if (LeaseManager.isCandidate(d.name(), mHost, mDependencies.fleet().view().hosts())) {
                mRollouts.computeIfAbsent(d.name(), Rollout::new).tick(d);
            }
        }
    }

    @Override
    public void onPacket(Link link, Packet p) {
        if (!p.hasOrderReply()) {
            return;
        }
        PendingOrder pending = mPendingOrders.remove(p.getOrderReply().getId());
        if (pending != null) {
            pending.rollout().onReply(pending.target(), p.getOrderReply());
        }
    }

    @Override
    public void onClosed(Link link) {
        // Queries without a reply are repeated.
    }

    /** Rollout of one deployment for whose lease this daemon is a candidate. */
    private final class Rollout {
        private final LeaseManager mLease;
        private final Map<String, ReportedState> mReportedStates = new TreeMap<>();
        private final List<String> mEvents = new ArrayList<>();
        private long mLastPollMillis;
        private boolean mHolder;

        Rollout(String name) {
            mLease = LeaseManager.of(name, mHost, mDependencies.table(), mClock);
        }

        void tick(DeploymentSpec spec) {
            mLease.tick();
            Optional<Long> fence = mLease.fence();
            if (fence.isPresent() != mHolder) {
                mHolder = fence.isPresent();
                LOG.info("event=lease deployment={} held={} fence={}", spec.name(), mHolder, fence);
            }
            if (!mHolder) {
                mReportedStates.clear();
                return;
            }
            List<TargetView> engines = engines(spec);
            long now = mClock.nowMillis();
            if (now - mLastPollMillis >= STATE_POLL_INTERVAL_MILLIS) {
                mLastPollMillis = now;
                engines.forEach(t -> send(t, Order.newBuilder().setOnlyAsk(true)));
            }
            plan(spec, engines, fence.get());
        }

        private List<TargetView> engines(DeploymentSpec spec) {
            return mDependencies.fleet().view().targets().stream()
                    .filter(t -> !t.isDeclaredLeaving() && spec.selector().matches(t.labels()))
                    .toList();
        }

        private void plan(DeploymentSpec spec, List<TargetView> engines, long fence) {
            List<RolloutPlanner.ObservedEngine> observed = new ArrayList<>();
            Map<String, TargetView> byName = new HashMap<>();
            for (TargetView t : engines) {
                byName.put(t.name(), t);
                ReportedState reported = mReportedStates.get(t.name());
                boolean fresh =
                        reported != null
                                && mClock.nowMillis() - reported.atMillis() < REPLY_TIMEOUT_MILLIS;
                observed.add(
                        new RolloutPlanner.ObservedEngine(
                                t.name(),
                                t.failureDomain(),
                                fresh ? Optional.of(reported.state()) : Optional.empty(),
                                fresh && reported.changing()));
            }
            for (String target : RolloutPlanner.next(spec, observed)) {
                order(spec, byName.get(target), fence);
            }
        }

        /** Sends an order; marks the engine as changing first, so that the next plan counts it. */
        private void order(DeploymentSpec spec, TargetView target, long fence) {
            EngineState desired = spec.desired();
            ReportedState before = mReportedStates.get(target.name());
            mReportedStates.put(
                    target.name(), new ReportedState(before.state(), true, mClock.nowMillis()));
            requestWeights(desired.weights())
                    .thenAccept(
                            granted -> {
                                if (granted) {
                                    recordEvent("order " + target.name() + " fence " + fence);
                                    send(target, newOrder(spec.name(), desired, fence));
                                } else {
                                    recordEvent(
                                            "weights " + desired.weights() + " not available yet");
                                }
                            });
        }

        private static Order.Builder newOrder(String deployment, EngineState desired, long fence) {
            return Order.newBuilder()
                    .setDeployment(deployment)
                    .setFence(fence)
                    .setModel(desired.model())
                    .setAdapter(desired.adapter())
                    .setVersion(desired.version())
                    .setRole(desired.role());
        }

        private CompletableFuture<Boolean> requestWeights(String weights) {
            return mDependencies
                    .weights()
                    .map(
                            s ->
                                    s.requestPermit(weights)
                                            .handle(
                                                    (p, e) ->
                                                            p
                                                                    instanceof
                                                                    WeightStore.Permit.Granted))
                    .orElse(CompletableFuture.completedFuture(true));
        }

        private void send(TargetView target, Order.Builder order) {
            long id = mNextOrderId++;
            mPendingOrders.put(id, new PendingOrder(this, target.name(), mClock.nowMillis()));
            Order o = order.setId(id).build();
            mDependencies
                    .links()
                    .connect(target.address())
                    .thenAccept(l -> l.send(mDependencies.sync().packet().setOrder(o).build()));
        }

        void onReply(String target, OrderReply r) {
            if (!r.getResult().equals(OrderResult.STATE.name())) {
                recordEvent(target + " " + r.getResult() + " " + r.getDetail());
            }
            boolean reportsState =
                    r.getResult().equals(OrderResult.STATE.name())
                            || r.getResult().equals(OrderResult.TAKEN.name());
            if (reportsState) {
                EngineState s =
                        new EngineState(r.getModel(), r.getAdapter(), r.getVersion(), r.getRole());
                mReportedStates.put(
                        target, new ReportedState(s, r.getChanging(), mClock.nowMillis()));
            }
        }

        private void recordEvent(String what) {
            mEvents.add(what);
            if (mEvents.size() > 20) {
                mEvents.remove(0);
            }
        }

        Map<String, Object> dump() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("holder", mHolder);
            m.put("fence", mLease.fence().orElse(0L));
            Map<String, String> engines = new TreeMap<>();
            mReportedStates.forEach(
                    (t, reported) ->
                            engines.put(
                                    t,
                                    reported.state() + (reported.changing() ? " changing" : "")));
            m.put("engines", engines);
            m.put("latest", List.copyOf(mEvents));
            return m;
        }
    }
}
