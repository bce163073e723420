package org.forkseam.daemon.sidecar;

import io.activej.eventloop.Eventloop;

import org.forkseam.core.cfg.PoolSpec;
import org.forkseam.core.kernel.Service;
import org.forkseam.core.label.Selector;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.core.route.PoolView;
import org.forkseam.core.route.TargetView;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.DecisionLog;
import org.forkseam.daemon.net.LinkManager;
import org.forkseam.daemon.net.PacketListener;
import org.forkseam.daemon.share.DigestSampler;
import org.forkseam.daemon.share.Fleet;
import org.forkseam.daemon.share.FleetSync;
import org.forkseam.daemon.share.Ticker;
import org.forkseam.wire.Link;
import org.forkseam.wire.proto.Credit;
import org.forkseam.wire.proto.LoadNotice;
import org.forkseam.wire.proto.Packet;
import org.forkseam.wire.proto.Resume;
import org.forkseam.wire.proto.Submit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Proxy through which all requests reach one target: it admits requests, sends each to the target
 * once, and buffers the responses.
 *
 * <p>A refusal of kind NOT_RUN is sent only if the request never reached the target. All state is
 * confined to the event loop.
 *
 * @since 0.1
 */
public final class Sidecar
        implements Service, PacketListener, Exchange.Owner, AdmissionController.Listener<Exchange> {
    /** Name of the service. */
    public static final String NAME = "sidecar";

    private static final Logger LOG = LoggerFactory.getLogger(Sidecar.class);
    private static final long TICK_INTERVAL_MILLIS = 50;
    private static final long KEEP_ALIVE_INTERVAL_MILLIS = 1_000;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Config mConfig;
    private final Fleet mFleet;
    private final FleetSync mSync;
    private final LinkManager mLinks;
    private final TargetClient mTarget;
    private final UnrepeatableExecutor mUnrepeatableExecutor;
    private final Optional<CacheLifetimeEstimator> mCacheLifetime;
    private final AdmissionController<Exchange> mAdmission;
    private final ExchangeRegistry mExchanges;
    private final DecisionLog mDecisions;
    private final DigestSampler mDigestSampler;
    private final Map<Link, Map<Long, Subscription>> mSubscriptions = new HashMap<>();
    private final StreamSubscriber.SidecarStatus mStatus;
    private final Ticker mTicker;
    private final SidecarCounters mCounters;
    private CompletableFuture<Void> mDrained;

    /**
     * Configuration of a sidecar.
     *
     * @param target the target's name
     * @param capacity maximum number of concurrent requests at the target
     * @param incarnation incarnation of this process
     * @param maxRetainedBytes limit on ended exchanges retained for replay; one response may buffer
     *     a quarter of it
     */
    public record Config(String target, int capacity, long incarnation, int maxRetainedBytes) {}

    /** Services that a sidecar uses. */
    public record Dependencies(
            Fleet fleet,
            FleetSync sync,
            LinkManager links,
            TargetClient target,
            ClaimManager claims,
            Optional<CacheLifetimeEstimator> cacheLifetime,
            SidecarCounters counters) {}

    /** An exchange and the subscriber that reads it on one stream. */
    private record Subscription(Exchange exchange, StreamSubscriber subscriber) {}

    private Sidecar(
            Eventloop loop,
            Clock clock,
            Config config,
            Dependencies dependencies,
            RandomGenerator random) {
        mLoop = loop;
        mClock = clock;
        mConfig = config;
        mFleet = dependencies.fleet();
        mSync = dependencies.sync();
        mLinks = dependencies.links();
        mTarget = dependencies.target();
        mCacheLifetime = dependencies.cacheLifetime();
        mCounters = dependencies.counters();
        mAdmission =
                AdmissionController.of(config.target(), config.capacity(), clock, random, this);
        mUnrepeatableExecutor =
                new UnrepeatableExecutor(
                        loop, clock, dependencies.claims(), mTarget, mAdmission, mCounters);
        mExchanges = ExchangeRegistry.of(config.maxRetainedBytes());
        mDecisions = DecisionLog.of(DecisionLog.DEFAULT_SIZE);
        mDigestSampler = DigestSampler.of(mFleet, clock, random);
        mStatus =
                new StreamSubscriber.SidecarStatus(
                        mSync::packet, this::loadDigests, this::cacheLifetimeMillis);
        mTicker = Ticker.of(loop, () -> TICK_INTERVAL_MILLIS, this::tick);
    }

    /** Creates the sidecar of one target. */
    public static Sidecar of(
            Eventloop loop,
            Clock clock,
            Config config,
            Dependencies dependencies,
            RandomGenerator random) {
        return new Sidecar(loop, clock, config, dependencies, random);
    }

    // ---------------------------------------------------------------- lifecycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public List<String> dependencies() {
        return List.of(LinkManager.NAME, FleetSync.NAME, HttpTargetClient.NAME);
    }

    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> started = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    mLinks.addListener(this);
                    mLinks.addListener(new QuotaCoordinator(mFleet, mSync, mClock));
                    mSync.setDecisionLog(mDecisions);
                    mSync.setOwnDigest(() -> Optional.of(mAdmission.digest()));
                    mFleet.addListener(this::onFleetChanged);
                    onFleetChanged();
                    started.complete(null);
                });
        mTicker.start();
        mCacheLifetime.ifPresent(CacheLifetimeEstimator::start);
        return started;
    }

    /** Starts draining, and completes when all requests and streams have ended. */
    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    mDrained = drained;
                    setLeaving(true);
                    completeIfDrained();
                });
        return drained.whenComplete((v, e) -> stopTimers());
    }

    /** Starts or stops draining, and notifies all connected daemons. */
    private void setLeaving(boolean leaving) {
        if (leaving == mAdmission.isLeaving()) {
            return;
        }
        mAdmission.setLeaving(leaving);
        LOG.info(
                "event=target target={} leaving={} load={}",
                mConfig.target(),
                leaving,
                mAdmission.load());
        mLinks.openLinks().forEach(this::sendLoadNotice);
    }

    private long cacheLifetimeMillis() {
        return mCacheLifetime.map(CacheLifetimeEstimator::lifetimeMillis).orElse(0L);
    }

    private void stopTimers() {
        mTicker.stop();
        mCacheLifetime.ifPresent(CacheLifetimeEstimator::stop);
    }

    private void completeIfDrained() {
        boolean hasSubscriptions = mSubscriptions.values().stream().anyMatch(m -> !m.isEmpty());
        if (mDrained != null && mAdmission.load() == 0 && !hasSubscriptions) {
            mDrained.complete(null);
        }
    }

    @Override
    public Object dump() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("gate", mAdmission.dump());
        m.put("answers_kept", mExchanges.size());
        m.put("answer_bytes_kept", mExchanges.retainedBytes());
        m.put("counters", mCounters.dump());
        m.put("decisions", mDecisions.latest(50));
        return m;
    }

    /** Returns the log of decisions on requests. */
    public DecisionLog decisions() {
        return mDecisions;
    }

    /** Returns the admission controller. */
    public AdmissionController<?> admission() {
        return mAdmission;
    }

    private void onFleetChanged() {
        for (PoolView p : mFleet.view().poolsOf(mConfig.target())) {
            Set<String> others =
                    p.targets().stream().map(TargetView::name).collect(Collectors.toSet());
            others.remove(mConfig.target());
            mAdmission.setMembers(p.spec().name(), others);
        }
        boolean declared =
                mFleet.view()
                        .target(mConfig.target())
                        .map(TargetView::isDeclaredLeaving)
                        .orElse(false);
        setLeaving(mDrained != null || declared);
    }

    private void tick() {
        mAdmission.expire();
        mExchanges.expire(mClock.nowMillis()).forEach(this::cancel);
        for (Map.Entry<Link, Map<Long, Subscription>> e : mSubscriptions.entrySet()) {
            if (!e.getValue().isEmpty()
                    && e.getKey().millisSinceLastWrite() > KEEP_ALIVE_INTERVAL_MILLIS) {
                sendLoadNotice(e.getKey());
            }
        }
        completeIfDrained();
    }

    /** Removes a request from the queue, or cancels it at the target. */
    private void cancel(Exchange e) {
        if (e.state() == Exchange.State.WAITING) {
            mAdmission.removeQueued(e);
            e.refuse(AttemptFailure.notRun(RefusalReason.CANCELLED, 0));
            return;
        }
        mTarget.cancel(e.request().getAttemptKey());
        e.refuse(AttemptFailure.mayHaveRun(RefusalReason.CANCELLED));
    }

    private void sendLoadNotice(Link link) {
        LoadNotice.Builder n = LoadNotice.newBuilder().addAllDigests(loadDigests());
        link.send(mSync.packet().setLoadNotice(n).build());
    }

    private List<org.forkseam.wire.proto.LoadDigest> loadDigests() {
        return mDigestSampler.withOwn(mAdmission.digest());
    }

    // ---------------------------------------------------------------- from routers

    @Override
    public void onPacket(Link link, Packet p) {
        switch (p.getBodyCase()) {
            case SUBMIT -> onSubmit(link, p.getSubmit());
            case CREDIT -> onCredit(link, p.getCredit());
            case CANCEL -> onCancel(link, p.getCancel().getStream());
            case RESUME -> onResume(link, p.getResume());
            case LOAD_NOTICE -> mergeDigests(link, p.getLoadNotice().getDigestsList());
            default -> {
                // Handled by other listeners.
            }
        }
    }

    private void mergeDigests(Link link, List<org.forkseam.wire.proto.LoadDigest> digests) {
        mFleet.onDigests(link, digests, mClock.nowMillis()).forEach(mAdmission::onDigest);
    }

    private void onSubmit(Link link, Submit s) {
        mergeDigests(link, s.getDigestsList());
        StreamSubscriber subscriber = createSubscriber(link, s.getStream(), 0, s.getWindow());
        Optional<Exchange> existing =
                mExchanges.findByRequest(s.getRequestId(), s.getFingerprint());
        if (existing.isPresent() && canJoin(existing.get())) {
            mCounters.onJoined();
            subscribe(existing.get(), subscriber);
            return;
        }
        Exchange e = new Exchange(s, this, mClock.nowMillis(), mConfig.maxRetainedBytes() / 4);
        mExchanges.add(e);
        subscribe(e, subscriber);
        long deadline = mClock.nowMillis() + s.getRemainingMillis();
        Optional<PoolView> pool = mFleet.view().pool(s.getPool());
        PoolSpec spec = pool.map(PoolView::spec).orElseGet(() -> fallbackPoolSpec(s.getPool()));
        long capacity = pool.map(PoolView::totalCapacity).orElse((long) mConfig.capacity());
        int members = pool.map(v -> v.targets().size()).orElse(1);
        mAdmission.onReportedLoad(s.getPool(), s.getOthersLoad(), s.getOthersRefused());
        mAdmission
                .admit(
                        e,
                        spec,
                        capacity,
                        members,
                        mFleet.config().team(s.getTeam()),
                        s.getPriority(),
                        deadline)
                .ifPresent(r -> onRefused(e, r));
    }

    /** Returns false if the request must run again since its response is no longer complete. */
    private static boolean canJoin(Exchange e) {
        boolean isComplete = e.buffer().has(0) || e.request().getUnrepeatable();
        return e.state() != Exchange.State.OVER && isComplete;
    }

    /** Returns defaults for a pool that this sidecar's configuration does not have yet. */
    private static PoolSpec fallbackPoolSpec(String name) {
        return new PoolSpec(
                name,
                Selector.all(),
                Double.MAX_VALUE,
                PoolSpec.Preference.SKEW,
                256,
                Duration.ofMinutes(1));
    }

    private StreamSubscriber createSubscriber(Link link, long stream, long from, long window) {
        return new StreamSubscriber(link, stream, from, window, mStatus);
    }

    private void subscribe(Exchange e, StreamSubscriber subscriber) {
        mSubscriptions
                .computeIfAbsent(subscriber.link(), k -> new HashMap<>())
                .put(subscriber.stream(), new Subscription(e, subscriber));
        e.addSubscriber(subscriber);
        unsubscribeIfDone(subscriber);
    }

    private void unsubscribeIfDone(StreamSubscriber subscriber) {
        if (subscriber.isDone()) {
            subscriptions(subscriber.link()).remove(subscriber.stream());
        }
    }

    private Map<Long, Subscription> subscriptions(Link link) {
        return mSubscriptions.getOrDefault(link, Map.of());
    }

    private void onCredit(Link link, Credit c) {
        Subscription subscription = subscriptions(link).get(c.getStream());
        if (subscription == null) {
            return;
        }
        subscription.subscriber().onCredit(c.getTotalBytes(), c.getAckedSequence());
        subscription.exchange().flush();
        unsubscribeIfDone(subscription.subscriber());
    }

    private void onCancel(Link link, long stream) {
        Subscription subscription = subscriptions(link).remove(stream);
        if (subscription == null) {
            return;
        }
        Exchange e = subscription.exchange();
        e.removeSubscriber(subscription.subscriber());
        if (!e.subscribers().isEmpty() || e.isEnded()) {
            return;
        }
        // A running unrepeatable request is completed, so that a retry gets its response.
        if (e.state() == Exchange.State.WAITING || !e.request().getUnrepeatable()) {
            cancel(e);
        }
    }

    @Override
    public void onClosed(Link link) {
        Map<Long, Subscription> closed = mSubscriptions.remove(link);
        if (closed == null) {
            return;
        }
        long now = mClock.nowMillis();
        for (Subscription subscription : closed.values()) {
            subscription.exchange().removeSubscriber(subscription.subscriber());
            if (subscription.exchange().subscribers().isEmpty()) {
                mExchanges.onOrphaned(subscription.exchange(), now);
            }
        }
    }

    private void onResume(Link link, Resume r) {
        StreamSubscriber subscriber =
                createSubscriber(link, r.getStream(), r.getFromSequence(), r.getWindow());
        Optional<Exchange> existing = mExchanges.findByAttempt(r.getAttemptKey());
        if (existing.isPresent()) {
            mCounters.onResumed();
            subscribe(existing.get(), subscriber);
            return;
        }
        boolean sameIncarnation = r.getIncarnation() == mConfig.incarnation();
        if (!sameIncarnation && r.getEngineStream()) {
            resumeFromEngine(r, subscriber);
            return;
        }
        subscriber.refuse(
                sameIncarnation
                        ? AttemptFailure.notRun(RefusalReason.UNKNOWN_ATTEMPT, 0)
                        : AttemptFailure.mayHaveRun(RefusalReason.UNKNOWN_ATTEMPT));
    }

    private void resumeFromEngine(Resume r, StreamSubscriber subscriber) {
        Submit s =
                Submit.newBuilder()
                        .setRequestId(r.getAttemptKey())
                        .setAttemptKey(r.getAttemptKey())
                        .setChat(true)
                        .setStripUsage(r.getStripUsage())
                        .build();
        Exchange e =
                Exchange.createResumed(
                        s,
                        this,
                        mClock.nowMillis(),
                        mConfig.maxRetainedBytes() / 4,
                        r.getFromSequence());
        mExchanges.add(e);
        subscribe(e, subscriber);
        mAdmission.addRunning();
        e.resume(mTarget, mClock.nowMillis());
    }

    // ---------------------------------------------------------------- from admission

    @Override
    public void onAdmitted(Exchange e) {
        if (!e.request().getUnrepeatable()) {
            mDecisions.add(e.request().getRequestId(), "started", mConfig.target());
            e.send(mTarget, mClock.nowMillis());
            return;
        }
        mUnrepeatableExecutor.start(e);
    }

    @Override
    public void onRefused(Exchange e, AttemptFailure why) {
        mCounters.onRefused(why.reason());
        mDecisions.add(e.request().getRequestId(), "refused " + why.reason(), mConfig.target());
        e.refuse(why);
    }

    // ---------------------------------------------------------------- from exchanges

    @Override
    public void onEnded(Exchange e) {
        boolean ran = e.startedMillis() > 0 && !e.isReplayed();
        if (ran) {
            mAdmission.release(Math.max(1, mClock.nowMillis() - e.startedMillis()));
            mCounters.onServed(e.usage());
            mDecisions.add(e.request().getRequestId(), "ended " + e.state(), mConfig.target());
        }
        if (ran) {
            mUnrepeatableExecutor.onEnded(e);
        }
        mLoop.post(
                () -> {
                    e.subscribers().forEach(this::unsubscribeIfDone);
                    removeFinished(e);
                });
        mExchanges.onEnded(e, mClock.nowMillis());
    }

    /** Removes the exchange's subscriptions that are done. */
    private void removeFinished(Exchange e) {
        mSubscriptions
                .values()
                .forEach(
                        m ->
                                m.values()
                                        .removeIf(
                                                s -> s.exchange() == e && s.subscriber().isDone()));
        completeIfDrained();
    }

    @Override
    public void onNotSent(Exchange e, Exception cause) {
        AttemptFailure r =
                AttemptFailure.notRun(RefusalReason.TARGET_DOWN, 1000).withDetail(cause.toString());
        mCounters.onRefused(r.reason());
        mUnrepeatableExecutor.releaseClaim(e, r);
    }
}
