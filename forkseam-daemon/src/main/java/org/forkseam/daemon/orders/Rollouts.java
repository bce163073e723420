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
import org.forkseam.daemon.share.LeaseKeeper;
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
 * Holds deployments' leases where nobody else does, and orders engines towards what is declared.
 *
 * <p>What engines run is asked of their sidecars, so a new holder needs nothing of the former one.
 * Used on the event loop.
 *
 * @since 0.1
 */
public final class Rollouts implements Service, PacketListener {
    /** Name of the service. */
    public static final String NAME = "rollouts";

    private static final Logger LOG = LoggerFactory.getLogger(Rollouts.class);
    private static final long TICK_MILLIS = 500;
    private static final long ASK_MILLIS = 1_500;
    private static final long STALE_MILLIS = 6_000;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Parts mParts;
    private final String mHost;
    private final Ticker mTicker;
    private final Map<String, Work> mWorks = new TreeMap<>();
    private final Map<Long, Asked> mAsked = new HashMap<>();
    private long mNextId;

    /** Holds what rollouts work with. */
    public record Parts(
            Fleet fleet,
            FleetSync sync,
            LinkManager links,
            TableService table,
            Optional<WeightStore> weights) {}

    /** Remembers to which deployment and engine a question went. */
    private record Asked(Work work, String target, long atMillis) {}

    /** Holds what an engine's sidecar said last. */
    private record Told(EngineState state, boolean changing, long atMillis) {}

    private Rollouts(Eventloop loop, Clock clock, Parts parts, String host) {
        mLoop = loop;
        mClock = clock;
        mParts = parts;
        mHost = host;
        // Ids of one daemon's former life must not be taken for this one's.
        mNextId = clock.nowMillis() << 16;
        mTicker = Ticker.of(loop, () -> TICK_MILLIS, this::tick);
    }

    /** Creates the service of one daemon. */
    public static Rollouts of(Eventloop loop, Clock clock, Parts parts, String host) {
        return new Rollouts(loop, clock, parts, host);
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
        mLoop.execute(() -> mParts.links().addListener(this));
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
        mWorks.forEach((n, w) -> out.put(n, w.dump()));
        return out;
    }

    // ---------------------------------------------------------------- work

    private void tick() {
        long now = mClock.nowMillis();
        mAsked.values().removeIf(a -> now - a.atMillis() > STALE_MILLIS);
        Map<String, DeploymentSpec> declared = new TreeMap<>();
        mParts.fleet().config().deployments().forEach(d -> declared.put(d.name(), d));
        mWorks.keySet().retainAll(declared.keySet());
        for (DeploymentSpec d : declared.values()) {
            if (LeaseKeeper.isCandidate(d.name(), mHost, mParts.fleet().view().hosts())) {
                mWorks.computeIfAbsent(d.name(), Work::new).tick(d);
            }
        }
    }

    @Override
    public void onPacket(Link link, Packet p) {
        if (!p.hasOrderReply()) {
            return;
        }
        Asked a = mAsked.remove(p.getOrderReply().getId());
        if (a != null) {
            a.work().onReply(a.target(), p.getOrderReply());
        }
    }

    @Override
    public void onClosed(Link link) {
        // Questions that get no reply are asked again.
    }

    /** Is the work on one deployment while this daemon may hold its lease. */
    private final class Work {
        private final LeaseKeeper mLease;
        private final Map<String, Told> mTold = new TreeMap<>();
        private final List<String> mLast = new ArrayList<>();
        private long mAskedAt;
        private boolean mHolder;

        Work(String name) {
            mLease = LeaseKeeper.of(name, mHost, mParts.table(), mClock);
        }

        void tick(DeploymentSpec spec) {
            mLease.tick();
            Optional<Long> fence = mLease.fence();
            if (fence.isPresent() != mHolder) {
                mHolder = fence.isPresent();
                LOG.info("event=lease deployment={} held={} fence={}", spec.name(), mHolder, fence);
            }
            if (!mHolder) {
                mTold.clear();
                return;
            }
            List<TargetView> engines = engines(spec);
            long now = mClock.nowMillis();
            if (now - mAskedAt >= ASK_MILLIS) {
                mAskedAt = now;
                engines.forEach(t -> send(t, Order.newBuilder().setOnlyAsk(true)));
            }
            plan(spec, engines, fence.get());
        }

        private List<TargetView> engines(DeploymentSpec spec) {
            return mParts.fleet().view().targets().stream()
                    .filter(t -> !t.isDeclaredLeaving() && spec.selector().matches(t.labels()))
                    .toList();
        }

        private void plan(DeploymentSpec spec, List<TargetView> engines, long fence) {
            List<RolloutPlanner.ObservedEngine> observed = new ArrayList<>();
            Map<String, TargetView> byName = new HashMap<>();
            for (TargetView t : engines) {
                byName.put(t.name(), t);
                Told k = mTold.get(t.name());
                boolean fresh = k != null && mClock.nowMillis() - k.atMillis() < STALE_MILLIS;
                observed.add(
                        new RolloutPlanner.ObservedEngine(
                                t.name(),
                                t.failureDomain(),
                                fresh ? Optional.of(k.state()) : Optional.empty(),
                                fresh && k.changing()));
            }
            for (String target : RolloutPlanner.next(spec, observed)) {
                order(spec, byName.get(target), fence);
            }
        }

        /** Marks the engine as changing at once, so that the next plan counts it. */
        private void order(DeploymentSpec spec, TargetView target, long fence) {
            EngineState w = spec.desired();
            Told before = mTold.get(target.name());
            mTold.put(target.name(), new Told(before.state(), true, mClock.nowMillis()));
            permit(w.weights())
                    .thenAccept(
                            granted -> {
                                if (granted) {
                                    note("order " + target.name() + " fence " + fence);
                                    send(target, orderOf(spec.name(), w, fence));
                                } else {
                                    note("weights " + w.weights() + " not to be had yet");
                                }
                            });
        }

        private static Order.Builder orderOf(String deployment, EngineState w, long fence) {
            return Order.newBuilder()
                    .setDeployment(deployment)
                    .setFence(fence)
                    .setModel(w.model())
                    .setAdapter(w.adapter())
                    .setVersion(w.version())
                    .setRole(w.role());
        }

        private CompletableFuture<Boolean> permit(String weights) {
            return mParts.weights()
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
            long id = mNextId++;
            mAsked.put(id, new Asked(this, target.name(), mClock.nowMillis()));
            Order o = order.setId(id).build();
            mParts.links()
                    .connect(target.address())
                    .thenAccept(l -> l.send(mParts.sync().packet().setOrder(o).build()));
        }

        void onReply(String target, OrderReply r) {
            if (!r.getResult().equals(OrderResult.STATE.name())) {
                note(target + " " + r.getResult() + " " + r.getDetail());
            }
            boolean tells =
                    r.getResult().equals(OrderResult.STATE.name())
                            || r.getResult().equals(OrderResult.TAKEN.name());
            if (tells) {
                EngineState s =
                        new EngineState(r.getModel(), r.getAdapter(), r.getVersion(), r.getRole());
                mTold.put(target, new Told(s, r.getChanging(), mClock.nowMillis()));
            }
        }

        private void note(String what) {
            mLast.add(what);
            if (mLast.size() > 20) {
                mLast.remove(0);
            }
        }

        Map<String, Object> dump() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("holder", mHolder);
            m.put("fence", mLease.fence().orElse(0L));
            Map<String, String> told = new TreeMap<>();
            mTold.forEach((t, k) -> told.put(t, k.state() + (k.changing() ? " changing" : "")));
            m.put("engines", told);
            m.put("latest", List.copyOf(mLast));
            return m;
        }
    }
}
