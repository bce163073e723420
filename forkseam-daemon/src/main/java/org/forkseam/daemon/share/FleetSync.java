package org.forkseam.daemon.share;

import io.activej.eventloop.Eventloop;

import org.forkseam.core.cfg.ConfigChange;
import org.forkseam.core.cfg.FleetConfig;
import org.forkseam.core.kernel.Service;
import org.forkseam.core.load.LoadDigest;
import org.forkseam.core.member.HostEntry;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.DecisionLog;
import org.forkseam.daemon.net.LinkManager;
import org.forkseam.daemon.net.PacketListener;
import org.forkseam.platform.HostList;
import org.forkseam.wire.Codec;
import org.forkseam.wire.Link;
import org.forkseam.wire.proto.ConfigPull;
import org.forkseam.wire.proto.ConfigPush;
import org.forkseam.wire.proto.LoadNotice;
import org.forkseam.wire.proto.Packet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Synchronizes a daemon's view of the fleet: hosts from the platform's host list, configuration
 * from peers and the table service, load from digests. Not thread-safe: runs on the event loop.
 *
 * <p>Configuration changes spread by gossip. Every packet carries the sender's version, so that a
 * daemon that is behind can pull. As a fallback, daemons poll the head row, at a rate limited for
 * the whole fleet.
 *
 * @since 0.1
 */
public final class FleetSync implements Service, PacketListener {
    /** Service name. */
    public static final String NAME = "fleet-sync";

    private static final Logger LOG = LoggerFactory.getLogger(FleetSync.class);
    private static final int GOSSIP_FANOUT = 3;
    private static final int DIGESTS_PER_NOTICE = 3;
    private static final long LOAD_NOTICE_INTERVAL_MILLIS = 1_000;
    private static final long MIN_SYNC_INTERVAL_MILLIS = 200;

    /** Maximum rate of head row reads of all daemons together. */
    private static final double FLEET_HEAD_READS_PER_SECOND = 50;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Fleet mFleet;
    private final LinkManager mLinks;
    private final HostList mHostList;
    private final ConfigStore mStore;
    private final RandomGenerator mRandom;
    private final String mHost;
    private final Ticker mHostTicker;
    private final Ticker mConfigTicker;
    private final Ticker mNoticeTicker;
    private final Map<Link, Long> mLastSyncMillis = new HashMap<>();
    private Supplier<Optional<LoadDigest>> mOwnDigest = Optional::empty;
    private DecisionLog mDecisions = DecisionLog.of(0);
    private boolean mHostListDown;
    private boolean mConfigStoreDown;

    /** Intervals at which a daemon polls the host list and the configuration. */
    public record PollIntervals(long hostListMillis, long configMillis) {}

    /** Sources that the view is synchronized with. */
    public record Sources(HostList hostList, ConfigStore store, LinkManager links) {}

    private FleetSync(
            Eventloop loop,
            Clock clock,
            Fleet fleet,
            Sources sources,
            PollIntervals intervals,
            String host,
            RandomGenerator random) {
        mLoop = loop;
        mClock = clock;
        mFleet = fleet;
        mLinks = sources.links();
        mHostList = sources.hostList();
        mStore = sources.store();
        mHost = host;
        mRandom = random;
        mHostTicker = Ticker.of(loop, () -> jitter(intervals.hostListMillis()), this::readHosts);
        mConfigTicker =
                Ticker.of(
                        loop, () -> jitter(configDelay(intervals.configMillis())), this::pollHead);
        mNoticeTicker =
                Ticker.of(loop, () -> jitter(LOAD_NOTICE_INTERVAL_MILLIS), this::sendLoadNotice);
    }

    /** Creates the service. */
    public static FleetSync of(
            Eventloop loop,
            Clock clock,
            Fleet fleet,
            Sources sources,
            PollIntervals intervals,
            String host,
            RandomGenerator random) {
        return new FleetSync(loop, clock, fleet, sources, intervals, host, random);
    }

    // ---------------------------------------------------------------- life-cycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public List<String> dependencies() {
        return List.of(LinkManager.NAME);
    }

    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> started = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    mLinks.addListener(this);
                    readHosts();
                    pollHead();
                    started.complete(null);
                });
        mHostTicker.start();
        mConfigTicker.start();
        mNoticeTicker.start();
        return started;
    }

    @Override
    public CompletableFuture<Void> stop() {
        mHostTicker.stop();
        mConfigTicker.stop();
        mNoticeTicker.stop();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Object dump() {
        return mFleet.dump(mClock.nowMillis());
    }

    // ---------------------------------------------------------------- public API

    /** Sets the supplier of the digest of this daemon's own target. */
    public void setOwnDigest(Supplier<Optional<LoadDigest>> digest) {
        mOwnDigest = digest;
    }

    /** Sets the decision log that other daemons may query. */
    public void setDecisionLog(DecisionLog decisions) {
        mDecisions = decisions;
    }

    /** Returns a new query to other daemons. */
    public PeerQuery newQuery() {
        return PeerQuery.of(mLoop, mLinks, this::packet);
    }

    /** Returns a packet builder with the active configuration version set. */
    public Packet.Builder packet() {
        return Packet.newBuilder().setConfigVersion(mFleet.config().version());
    }

    /** Applies a change committed by this daemon and gossips it. */
    public void onAccepted(ConfigChange change) {
        if (mFleet.onChanges(List.of(change), mClock.nowMillis())) {
            logConfigActivated("accepted-here");
            gossipLatestChange(null);
        }
    }

    /** Reads the head row and applies all changes since the active version. */
    public CompletableFuture<ConfigStore.Head> catchUp() {
        return mStore.head().thenCompose(h -> catchUp(h).thenApply(v -> h));
    }

    // ---------------------------------------------------------------- platform

    private void readHosts() {
        mHostList
                .read()
                .whenComplete(
                        (hosts, e) -> {
                            logHostListState(e);
                            if (e == null) {
                                mFleet.onHosts(hosts, mClock.nowMillis());
                            }
                        });
    }

    private void logHostListState(Throwable e) {
        if ((e != null) != mHostListDown) {
            mHostListDown = e != null;
            LOG.warn(
                    "event=host-list state={} cause=\"{}\"",
                    mHostListDown ? "down" : "up",
                    String.valueOf(e));
        }
    }

    private void pollHead() {
        catchUp().whenComplete((h, e) -> logConfigStoreState(e));
    }

    private void logConfigStoreState(Throwable e) {
        if ((e != null) != mConfigStoreDown) {
            mConfigStoreDown = e != null;
            LOG.warn(
                    "event=config-store state={} cause=\"{}\"",
                    mConfigStoreDown ? "down" : "up",
                    String.valueOf(e));
        }
    }

    private CompletableFuture<Void> catchUp(ConfigStore.Head head) {
        FleetConfig known = mFleet.config();
        if (head.version() <= known.version()) {
            return CompletableFuture.completedFuture(null);
        }
        boolean useSnapshot =
                head.version() - known.version() > ConfigStore.SNAPSHOT_INTERVAL_VERSIONS;
        CompletableFuture<Void> snapshot =
                useSnapshot
                        ? mStore.snapshot().thenAccept(s -> s.ifPresent(this::onSnapshot))
                        : CompletableFuture.completedFuture(null);
        return snapshot.thenCompose(v -> mStore.changesAfter(mFleet.config(), head.version()))
                .thenAccept(
                        changes -> {
                            if (mFleet.onChanges(changes, mClock.nowMillis())) {
                                logConfigActivated("table-service");
                                gossipLatestChange(null);
                            }
                        });
    }

    private void onSnapshot(FleetConfig config) {
        if (mFleet.onSnapshot(config, mClock.nowMillis())) {
            logConfigActivated("snapshot");
        }
    }

    private void logConfigActivated(String source) {
        LOG.info("event=config-in-force version={} source={}", mFleet.config().version(), source);
    }

    private long configDelay(long minDelay) {
        int daemons = Math.max(1, mFleet.view().hosts().size());
        return Math.max(minDelay, (long) (daemons * 1000 / FLEET_HEAD_READS_PER_SECOND));
    }

    private long jitter(long millis) {
        return millis / 2 + mRandom.nextLong(millis + 1);
    }

    // ---------------------------------------------------------------- peers

    @Override
    public void onPacket(Link link, Packet p) {
        if (p.getConfigVersion() > mFleet.config().version()) {
            pull(link);
        }
        if (p.hasLoadNotice() && p.getConfigVersion() < mFleet.config().version()) {
            pushIfAllowed(link, p.getConfigVersion());
        }
        switch (p.getBodyCase()) {
            case CONFIG_PULL -> onPull(link, p.getConfigPull());
            case CONFIG_PUSH -> onPush(link, p.getConfigPush());
            case LOAD_NOTICE -> onLoadNotice(link, p.getLoadNotice());
            case DECISION_QUERY ->
                    link.send(
                            packet().setDecisionReply(
                                            DecisionReplies.replyTo(
                                                    p.getDecisionQuery(), mDecisions))
                                    .build());
            default -> {
                // Handled by other listeners.
            }
        }
    }

    @Override
    public void onClosed(Link link) {
        mLastSyncMillis.remove(link);
    }

    private void onLoadNotice(Link link, LoadNotice notice) {
        mFleet.onDigests(link, notice.getDigestsList(), mClock.nowMillis());
    }

    /** Limits the rate of pulls and pushes over a link; returns whether one is allowed now. */
    private boolean tryAcquireSync(Link link) {
        long now = mClock.nowMillis();
        Long last = mLastSyncMillis.get(link);
        if (last != null && now - last < MIN_SYNC_INTERVAL_MILLIS) {
            return false;
        }
        mLastSyncMillis.put(link, now);
        return true;
    }

    private void pull(Link link) {
        if (!tryAcquireSync(link)) {
            return;
        }
        ConfigPull pull = ConfigPull.newBuilder().setFromVersion(mFleet.config().version()).build();
        link.send(packet().setConfigPull(pull).build());
    }

    private void onPull(Link link, ConfigPull pull) {
        if (pull.getFromVersion() < mFleet.config().version()) {
            sendChanges(link, pull.getFromVersion());
        }
    }

    /** Sends the changes that a peer is missing, if the rate limit allows. */
    private void pushIfAllowed(Link link, long fromVersion) {
        if (tryAcquireSync(link)) {
            sendChanges(link, fromVersion);
        }
    }

    private void sendChanges(Link link, long fromVersion) {
        ConfigPush push =
                mFleet.log()
                        .since(fromVersion)
                        .map(Codec::toConfigPush)
                        .orElseGet(() -> Codec.toConfigPush(mFleet.config()));
        link.send(packet().setConfigPush(push).build());
    }

    private void onPush(Link link, ConfigPush push) {
        long now = mClock.nowMillis();
        boolean applied;
        if (push.getWhole() && push.getChangesCount() == 1) {
            applied = mFleet.onSnapshot(Codec.fullConfigFromWire(push.getChanges(0)), now);
        } else {
            List<ConfigChange> changes = new ArrayList<>();
            push.getChangesList().forEach(c -> changes.add(Codec.fromWire(c)));
            applied = mFleet.onChanges(changes, now);
        }
        if (applied) {
            logConfigActivated(link.peer().getHost());
            gossipLatestChange(link);
        }
    }

    /** Sends the latest change to a few random daemons. */
    private void gossipLatestChange(Link exclude) {
        List<ConfigChange> history = mFleet.log().history();
        ConfigPush push =
                history.isEmpty()
                        ? Codec.toConfigPush(mFleet.config())
                        : Codec.toConfigPush(List.of(history.get(history.size() - 1)));
        Packet packet = packet().setConfigPush(push).build();
        for (int i = 0; i < GOSSIP_FANOUT; i++) {
            randomPeer()
                    .ifPresent(
                            h ->
                                    mLinks.connect(h.address())
                                            .thenAccept(l -> sendUnless(l, exclude, packet)));
        }
    }

    private static void sendUnless(Link link, Link exclude, Packet packet) {
        if (link != exclude) {
            link.send(packet);
        }
    }

    /** Sends the load of this target and the latest digests of others to a random daemon. */
    private void sendLoadNotice() {
        long now = mClock.nowMillis();
        LoadNotice.Builder b = LoadNotice.newBuilder();
        mOwnDigest.get().ifPresent(d -> b.addDigests(Codec.toWireWithoutTarget(d, now)));
        newestDigests().forEach(d -> b.addDigests(Codec.toWire(d, now)));
        Packet packet = packet().setLoadNotice(b).build();
        randomPeer().ifPresent(h -> mLinks.connect(h.address()).thenAccept(l -> l.send(packet)));
    }

    private List<LoadDigest> newestDigests() {
        return mFleet.view().targets().stream()
                .flatMap(t -> t.digest().stream())
                .sorted((a, b) -> Long.compare(b.atMillis(), a.atMillis()))
                .limit(DIGESTS_PER_NOTICE)
                .toList();
    }

    /** Queries all daemons for their version; completes when all replied or on timeout. */
    public CompletableFuture<Map<String, Long>> versions(long timeoutMillis) {
        return newQuery()
                .ask("", mFleet.view().hosts(), timeoutMillis)
                .thenApply(
                        replies -> {
                            Map<String, Long> out = new TreeMap<>();
                            out.put(mHost, mFleet.config().version());
                            replies.forEach((h, p) -> out.put(h, p.getConfigVersion()));
                            return out;
                        });
    }

    private Optional<HostEntry> randomPeer() {
        List<HostEntry> peers =
                mFleet.view().hosts().stream().filter(h -> !h.host().equals(mHost)).toList();
        return peers.isEmpty()
                ? Optional.empty()
                : Optional.of(peers.get(mRandom.nextInt(peers.size())));
    }
}
