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
import org.forkseam.daemon.net.Links;
import org.forkseam.daemon.net.PacketSink;
import org.forkseam.daemon.share.DigestCarrier;
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
 * Is the only way to one target: it lets requests in, hands them over once, and keeps their
 * answers.
 *
 * <p>A refusal of kind NOT_RUN leaves here only for a request that was not handed over. All state
 * is on the event loop.
 *
 * @since 0.1
 */
public final class Sidecar
        implements Service, PacketSink, Exchange.Owner, TargetGate.Starter<Exchange> {
    /** Name of the service. */
    public static final String NAME = "sidecar";

    private static final Logger LOG = LoggerFactory.getLogger(Sidecar.class);
    private static final long TICK_MILLIS = 50;
    private static final long ALIVE_MILLIS = 1_000;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Config mConfig;
    private final Fleet mFleet;
    private final FleetSync mSync;
    private final Links mLinks;
    private final TargetClient mTarget;
    private final UnrepeatableRuns mUnrepeatable;
    private final Optional<CacheWatch> mCache;
    private final TargetGate<Exchange> mGate;
    private final AnswerKeeper mKeeper;
    private final DecisionLog mDecisions;
    private final DigestCarrier mDigests;
    private final Map<Link, Map<Long, Attached>> mStreams = new HashMap<>();
    private final Viewer.Voice mVoice;
    private final Ticker mTicker;
    private final SidecarCounters mCounters;
    private CompletableFuture<Void> mDrained;

    /**
     * Holds what a sidecar is told about itself.
     *
     * @param target the target's name
     * @param capacity requests it runs at once
     * @param incarnation of this process
     * @param keptBytes answers kept to be sent again
     */
    public record Config(String target, int capacity, long incarnation, int keptBytes) {}

    /** Holds the services a sidecar works with. */
    public record Parts(
            Fleet fleet,
            FleetSync sync,
            Links links,
            TargetClient target,
            Claims claims,
            Optional<CacheWatch> cache,
            SidecarCounters counters) {}

    /** Joins an exchange with the viewer that follows it on one stream. */
    private record Attached(Exchange exchange, Viewer viewer) {}

    private Sidecar(
            Eventloop loop, Clock clock, Config config, Parts parts, RandomGenerator random) {
        mLoop = loop;
        mClock = clock;
        mConfig = config;
        mFleet = parts.fleet();
        mSync = parts.sync();
        mLinks = parts.links();
        mTarget = parts.target();
        mCache = parts.cache();
        mCounters = parts.counters();
        mGate = TargetGate.of(config.target(), config.capacity(), clock, random, this);
        mUnrepeatable =
                new UnrepeatableRuns(loop, clock, parts.claims(), mTarget, mGate, mCounters);
        mKeeper = AnswerKeeper.of(config.keptBytes());
        mDecisions = DecisionLog.of(DecisionLog.DEFAULT_SIZE);
        mDigests = DigestCarrier.of(mFleet, clock, random);
        mVoice = new Viewer.Voice(mSync::packet, this::ownDigest, this::cacheLifetime);
        mTicker = Ticker.of(loop, () -> TICK_MILLIS, this::tick);
    }

    /** Creates the sidecar of one target. */
    public static Sidecar of(
            Eventloop loop, Clock clock, Config config, Parts parts, RandomGenerator random) {
        return new Sidecar(loop, clock, config, parts, random);
    }

    // ---------------------------------------------------------------- life-cycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public List<String> dependencies() {
        return List.of(Links.NAME, FleetSync.NAME);
    }

    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> started = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    mLinks.addSink(this);
                    mLinks.addSink(new QuotaHome(mFleet, mSync, mClock));
                    mSync.setDecisions(mDecisions);
                    mSync.setOwnDigest(() -> Optional.of(mGate.digest()));
                    mFleet.addListener(this::onFleetChanged);
                    onFleetChanged();
                    started.complete(null);
                });
        mTicker.start();
        mCache.ifPresent(CacheWatch::start);
        return started;
    }

    /** Takes no new work from this instant, and completes when what runs has ended. */
    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    mDrained = drained;
                    setLeaving(true);
                    checkDrained();
                });
        return drained.whenComplete((v, e) -> stopTicking());
    }

    /** Refuses from this instant, and tells every daemon that has a link here. */
    private void setLeaving(boolean leaving) {
        if (leaving == mGate.isLeaving()) {
            return;
        }
        mGate.setLeaving(leaving);
        LOG.info(
                "event=target target={} leaving={} load={}",
                mConfig.target(),
                leaving,
                mGate.load());
        mLinks.open().forEach(this::sendNotice);
    }

    private long cacheLifetime() {
        return mCache.map(CacheWatch::lifetimeMillis).orElse(0L);
    }

    private void stopTicking() {
        mTicker.stop();
        mCache.ifPresent(CacheWatch::stop);
    }

    private void checkDrained() {
        boolean sending = mStreams.values().stream().anyMatch(m -> !m.isEmpty());
        if (mDrained != null && mGate.load() == 0 && !sending) {
            mDrained.complete(null);
        }
    }

    @Override
    public Object dump() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("gate", mGate.dump());
        m.put("answers_kept", mKeeper.size());
        m.put("answer_bytes_kept", mKeeper.bytes());
        m.put("counters", mCounters.dump());
        m.put("decisions", mDecisions.latest(50));
        return m;
    }

    /** Returns the decisions on requests, for explanations. */
    public DecisionLog decisions() {
        return mDecisions;
    }

    /** Returns the gate, for metrics. */
    public TargetGate<?> gate() {
        return mGate;
    }

    private void onFleetChanged() {
        for (PoolView p : mFleet.view().poolsOf(mConfig.target())) {
            Set<String> others =
                    p.targets().stream().map(TargetView::name).collect(Collectors.toSet());
            others.remove(mConfig.target());
            mGate.setMembers(p.spec().name(), others);
        }
        boolean declared =
                mFleet.view()
                        .target(mConfig.target())
                        .map(TargetView::isDeclaredLeaving)
                        .orElse(false);
        setLeaving(mDrained != null || declared);
    }

    private void tick() {
        mGate.expire();
        mKeeper.expire(mClock.nowMillis()).forEach(this::giveUp);
        for (Map.Entry<Link, Map<Long, Attached>> e : mStreams.entrySet()) {
            if (!e.getValue().isEmpty() && e.getKey().millisSinceLastWrite() > ALIVE_MILLIS) {
                sendNotice(e.getKey());
            }
        }
        checkDrained();
    }

    /** Ends the work on a repeatable request that nobody has followed for a while. */
    private void giveUp(Exchange e) {
        if (e.state() == Exchange.State.WAITING) {
            mGate.leaveQueue(e);
            e.refuse(AttemptFailure.notRun(RefusalReason.CANCELLED, 0));
            return;
        }
        mTarget.cancel(e.request().getAttemptKey());
        e.refuse(AttemptFailure.mayHaveRun(RefusalReason.CANCELLED));
    }

    private void sendNotice(Link link) {
        LoadNotice.Builder n = LoadNotice.newBuilder().addAllDigests(ownDigest());
        link.send(mSync.packet().setLoadNotice(n).build());
    }

    private List<org.forkseam.wire.proto.LoadDigest> ownDigest() {
        return mDigests.withOwn(mGate.digest());
    }

    // ---------------------------------------------------------------- from routers

    @Override
    public void onPacket(Link link, Packet p) {
        switch (p.getBodyCase()) {
            case SUBMIT -> onSubmit(link, p.getSubmit());
            case CREDIT -> onCredit(link, p.getCredit());
            case CANCEL -> onCancel(link, p.getCancel().getStream());
            case RESUME -> onResume(link, p.getResume());
            case LOAD_NOTICE -> learn(link, p.getLoadNotice().getDigestsList());
            default -> {
                // The other sinks' concern.
            }
        }
    }

    private void learn(Link link, List<org.forkseam.wire.proto.LoadDigest> digests) {
        mFleet.learn(link, digests, mClock.nowMillis()).forEach(mGate::onDigest);
    }

    private void onSubmit(Link link, Submit s) {
        learn(link, s.getDigestsList());
        Viewer viewer = viewer(link, s.getStream(), 0, s.getWindow());
        Optional<Exchange> known = mKeeper.byRequest(s.getRequestId(), s.getFingerprint());
        if (known.isPresent() && canJoin(known.get())) {
            mCounters.onJoined();
            attach(known.get(), viewer);
            return;
        }
        Exchange e = new Exchange(s, this, mClock.nowMillis(), mConfig.keptBytes() / 4);
        mKeeper.add(e);
        attach(e, viewer);
        long deadline = mClock.nowMillis() + s.getRemainingMillis();
        Optional<PoolView> pool = mFleet.view().pool(s.getPool());
        PoolSpec spec = pool.map(PoolView::spec).orElseGet(() -> unknownPool(s.getPool()));
        long capacity = pool.map(PoolView::totalCapacity).orElse((long) mConfig.capacity());
        int members = pool.map(v -> v.targets().size()).orElse(1);
        mGate.onOthersLoad(s.getPool(), s.getOthersLoad(), s.getOthersRefused());
        mGate.enter(
                        e,
                        spec,
                        capacity,
                        members,
                        mFleet.config().team(s.getTeam()),
                        s.getPriority(),
                        deadline)
                .ifPresent(r -> onRefused(e, r));
    }

    /** A repeatable request whose answer is no longer kept from its start is run again. */
    private static boolean canJoin(Exchange e) {
        boolean kept = e.buffer().has(0) || e.request().getUnrepeatable();
        return e.state() != Exchange.State.OVER && kept;
    }

    /** Serves a router that is ahead in configuration, until this sidecar has caught up. */
    private static PoolSpec unknownPool(String name) {
        return new PoolSpec(
                name,
                Selector.all(),
                Double.MAX_VALUE,
                PoolSpec.Preference.SKEW,
                256,
                Duration.ofMinutes(1));
    }

    private Viewer viewer(Link link, long stream, long from, long window) {
        return new Viewer(link, stream, from, window, mVoice);
    }

    private void attach(Exchange e, Viewer viewer) {
        mStreams.computeIfAbsent(viewer.link(), k -> new HashMap<>())
                .put(viewer.stream(), new Attached(e, viewer));
        e.addViewer(viewer);
        detachIfDone(viewer);
    }

    private void detachIfDone(Viewer viewer) {
        if (viewer.isDone()) {
            streams(viewer.link()).remove(viewer.stream());
        }
    }

    private Map<Long, Attached> streams(Link link) {
        return mStreams.getOrDefault(link, Map.of());
    }

    private void onCredit(Link link, Credit c) {
        Attached a = streams(link).get(c.getStream());
        if (a == null) {
            return;
        }
        a.viewer().onCredit(c.getTotalBytes(), c.getAckedSequence());
        a.exchange().pump();
        detachIfDone(a.viewer());
    }

    private void onCancel(Link link, long stream) {
        Attached a = streams(link).remove(stream);
        if (a == null) {
            return;
        }
        Exchange e = a.exchange();
        e.removeViewer(a.viewer());
        if (!e.viewers().isEmpty() || e.isOver()) {
            return;
        }
        // An unrepeatable request that runs goes on to its end, so that a repeat gets its answer.
        if (e.state() == Exchange.State.WAITING || !e.request().getUnrepeatable()) {
            giveUp(e);
        }
    }

    @Override
    public void onClosed(Link link) {
        Map<Long, Attached> gone = mStreams.remove(link);
        if (gone == null) {
            return;
        }
        long now = mClock.nowMillis();
        for (Attached a : gone.values()) {
            a.exchange().removeViewer(a.viewer());
            if (a.exchange().viewers().isEmpty()) {
                mKeeper.orphaned(a.exchange(), now);
            }
        }
    }

    private void onResume(Link link, Resume r) {
        Viewer viewer = viewer(link, r.getStream(), r.getFromSequence(), r.getWindow());
        Optional<Exchange> known = mKeeper.byAttempt(r.getAttemptKey());
        if (known.isPresent()) {
            mCounters.onResumed();
            attach(known.get(), viewer);
            return;
        }
        boolean sameLife = r.getIncarnation() == mConfig.incarnation();
        if (!sameLife && r.getEngineStream()) {
            resumeFromEngine(r, viewer);
            return;
        }
        viewer.refuse(
                sameLife
                        ? AttemptFailure.notRun(RefusalReason.UNKNOWN_ATTEMPT, 0)
                        : AttemptFailure.mayHaveRun(RefusalReason.UNKNOWN_ATTEMPT));
    }

    private void resumeFromEngine(Resume r, Viewer viewer) {
        Submit s =
                Submit.newBuilder()
                        .setRequestId(r.getAttemptKey())
                        .setAttemptKey(r.getAttemptKey())
                        .setChat(true)
                        .setStripUsage(r.getStripUsage())
                        .build();
        Exchange e =
                Exchange.resumed(
                        s, this, mClock.nowMillis(), mConfig.keptBytes() / 4, r.getFromSequence());
        mKeeper.add(e);
        attach(e, viewer);
        mGate.enterRunning();
        e.runResumed(mTarget, mClock.nowMillis());
    }

    // ---------------------------------------------------------------- from the gate

    @Override
    public void onTurn(Exchange e) {
        if (!e.request().getUnrepeatable()) {
            mDecisions.add(e.request().getRequestId(), "started", mConfig.target());
            e.run(mTarget, mClock.nowMillis());
            return;
        }
        mUnrepeatable.start(e);
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
            mGate.release(Math.max(1, mClock.nowMillis() - e.startedMillis()));
            mCounters.onServed(e.usage());
            mDecisions.add(e.request().getRequestId(), "ended " + e.state(), mConfig.target());
        }
        if (ran) {
            mUnrepeatable.onEnded(e);
        }
        mLoop.post(
                () -> {
                    e.viewers().forEach(this::detachIfDone);
                    streamsOf(e);
                });
        mKeeper.ended(e, mClock.nowMillis());
    }

    /** Drops the streams of viewers that got all they were to get. */
    private void streamsOf(Exchange e) {
        mStreams.values()
                .forEach(m -> m.values().removeIf(a -> a.exchange() == e && a.viewer().isDone()));
        checkDrained();
    }

    @Override
    public void onNotSent(Exchange e, Exception cause) {
        AttemptFailure r =
                AttemptFailure.notRun(RefusalReason.TARGET_DOWN, 1000).withDetail(cause.toString());
        mCounters.onRefused(r.reason());
        mUnrepeatable.giveBack(e, r);
    }
}
