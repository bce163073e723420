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
 * Keeps a daemon's view of the fleet up to date: hosts from the platform's list, configuration from
 * peers first and from the table service behind them, load from digests.
 *
 * <p>A daemon that learns of a new version at once tells a few others, so that it reaches all in a
 * few rounds; every packet names the sender's version, so that whoever is behind pulls; and a slow
 * poll of the head row, its rate shared among all daemons, backs both up. Used on the event loop.
 *
 * @since 0.1
 */
public final class FleetSync implements Service, PacketListener {
    /** Name of the service. */
    public static final String NAME = "fleet-sync";

    private static final Logger LOG = LoggerFactory.getLogger(FleetSync.class);
    private static final int FANOUT = 3;
    private static final int NOTICE_DIGESTS = 3;
    private static final long NOTICE_MILLIS = 1_000;
    private static final long AGAIN_MILLIS = 200;

    /** Reads of the head row that all daemons together may cause in a second. */
    private static final double HEAD_READS_PER_SECOND = 50;

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
    private final Map<Link, Long> mCaughtUpAt = new HashMap<>();
    private Supplier<Optional<LoadDigest>> mOwnDigest = Optional::empty;
    private DecisionLog mDecisions = DecisionLog.of(0);
    private boolean mHostsDown;
    private boolean mStoreDown;

    /** Holds how often a daemon reads the platform. */
    public record Pace(long hostListMillis, long configMillis) {}

    /** Holds what a daemon's view is kept up to date with. */
    public record Sources(HostList hostList, ConfigStore store, LinkManager links) {}

    private FleetSync(
            Eventloop loop,
            Clock clock,
            Fleet fleet,
            Sources sources,
            Pace pace,
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
        mHostTicker = Ticker.of(loop, () -> jitter(pace.hostListMillis()), this::readHosts);
        mConfigTicker =
                Ticker.of(loop, () -> jitter(configDelay(pace.configMillis())), this::pollHead);
        mNoticeTicker = Ticker.of(loop, () -> jitter(NOTICE_MILLIS), this::sendNotice);
    }

    /** Creates the service of one daemon. */
    public static FleetSync of(
            Eventloop loop,
            Clock clock,
            Fleet fleet,
            Sources sources,
            Pace pace,
            String host,
            RandomGenerator random) {
        return new FleetSync(loop, clock, fleet, sources, pace, host, random);
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

    /** Sets where the digest of this daemon's own target comes from. */
    public void setOwnDigest(Supplier<Optional<LoadDigest>> digest) {
        mOwnDigest = digest;
    }

    /** Sets the decisions that other daemons may ask for. */
    public void setDecisions(DecisionLog decisions) {
        mDecisions = decisions;
    }

    /** Returns the link keeper, to ask other daemons. */
    public PeerQuery query() {
        return PeerQuery.of(mLoop, mLinks, this::packet);
    }

    /** Returns a packet builder that names the version in force here. */
    public Packet.Builder packet() {
        return Packet.newBuilder().setConfigVersion(mFleet.config().version());
    }

    /** Puts a change that was accepted here in force and tells others. */
    public void onAccepted(ConfigChange change) {
        if (mFleet.onChanges(List.of(change), mClock.nowMillis())) {
            logInForce("accepted-here");
            tellOthers(null);
        }
    }

    /** Reads the head row and what follows the version in force; completes when caught up. */
    public CompletableFuture<ConfigStore.Head> catchUp() {
        return mStore.head().thenCompose(h -> catchUp(h).thenApply(v -> h));
    }

    // ---------------------------------------------------------------- from the platform

    private void readHosts() {
        mHostList
                .read()
                .whenComplete(
                        (hosts, e) -> {
                            noteHosts(e);
                            if (e == null) {
                                mFleet.onHosts(hosts, mClock.nowMillis());
                            }
                        });
    }

    private void noteHosts(Throwable e) {
        if ((e != null) != mHostsDown) {
            mHostsDown = e != null;
            LOG.warn(
                    "event=host-list state={} cause=\"{}\"",
                    mHostsDown ? "down" : "up",
                    String.valueOf(e));
        }
    }

    private void pollHead() {
        catchUp().whenComplete((h, e) -> noteStore(e));
    }

    private void noteStore(Throwable e) {
        if ((e != null) != mStoreDown) {
            mStoreDown = e != null;
            LOG.warn(
                    "event=config-store state={} cause=\"{}\"",
                    mStoreDown ? "down" : "up",
                    String.valueOf(e));
        }
    }

    private CompletableFuture<Void> catchUp(ConfigStore.Head head) {
        FleetConfig known = mFleet.config();
        if (head.version() <= known.version()) {
            return CompletableFuture.completedFuture(null);
        }
        boolean far = head.version() - known.version() > ConfigStore.SNAPSHOT_EVERY;
        CompletableFuture<Void> first =
                far
                        ? mStore.snapshot().thenAccept(s -> s.ifPresent(this::onWhole))
                        : CompletableFuture.completedFuture(null);
        return first.thenCompose(v -> mStore.changesAfter(mFleet.config(), head.version()))
                .thenAccept(
                        changes -> {
                            if (mFleet.onChanges(changes, mClock.nowMillis())) {
                                logInForce("table-service");
                                tellOthers(null);
                            }
                        });
    }

    private void onWhole(FleetConfig whole) {
        if (mFleet.onWhole(whole, mClock.nowMillis())) {
            logInForce("snapshot");
        }
    }

    private void logInForce(String source) {
        LOG.info("event=config-in-force version={} source={}", mFleet.config().version(), source);
    }

    private long configDelay(long shortest) {
        int daemons = Math.max(1, mFleet.view().hosts().size());
        return Math.max(shortest, (long) (daemons * 1000 / HEAD_READS_PER_SECOND));
    }

    private long jitter(long millis) {
        return millis / 2 + mRandom.nextLong(millis + 1);
    }

    // ---------------------------------------------------------------- from and to peers

    @Override
    public void onPacket(Link link, Packet p) {
        if (p.getConfigVersion() > mFleet.config().version()) {
            pull(link);
        }
        if (p.hasLoadNotice() && p.getConfigVersion() < mFleet.config().version()) {
            pushTo(link, p.getConfigVersion());
        }
        switch (p.getBodyCase()) {
            case CONFIG_PULL -> answerPull(link, p.getConfigPull());
            case CONFIG_PUSH -> onPush(link, p.getConfigPush());
            case LOAD_NOTICE -> onNotice(link, p.getLoadNotice());
            case DECISION_QUERY ->
                    link.send(
                            packet().setDecisionReply(
                                            DecisionReplies.to(p.getDecisionQuery(), mDecisions))
                                    .build());
            default -> {
                // Handled by other listeners.
            }
        }
    }

    @Override
    public void onClosed(Link link) {
        mCaughtUpAt.remove(link);
    }

    private void onNotice(Link link, LoadNotice notice) {
        mFleet.learn(link, notice.getDigestsList(), mClock.nowMillis());
    }

    /** Returns whether a link may be used for catching up again so soon. */
    private boolean mayUse(Link link) {
        long now = mClock.nowMillis();
        Long last = mCaughtUpAt.get(link);
        if (last != null && now - last < AGAIN_MILLIS) {
            return false;
        }
        mCaughtUpAt.put(link, now);
        return true;
    }

    private void pull(Link link) {
        if (!mayUse(link)) {
            return;
        }
        ConfigPull pull = ConfigPull.newBuilder().setFromVersion(mFleet.config().version()).build();
        link.send(packet().setConfigPull(pull).build());
    }

    private void answerPull(Link link, ConfigPull pull) {
        if (pull.getFromVersion() < mFleet.config().version()) {
            send(link, pull.getFromVersion());
        }
    }

    /** Brings a daemon forward that was heard to be behind. */
    private void pushTo(Link link, long fromVersion) {
        if (mayUse(link)) {
            send(link, fromVersion);
        }
    }

    private void send(Link link, long fromVersion) {
        ConfigPush push =
                mFleet.log()
                        .since(fromVersion)
                        .map(Codec::toConfigPush)
                        .orElseGet(() -> Codec.toConfigPush(mFleet.config()));
        link.send(packet().setConfigPush(push).build());
    }

    private void onPush(Link link, ConfigPush push) {
        long now = mClock.nowMillis();
        boolean any;
        if (push.getWhole() && push.getChangesCount() == 1) {
            any = mFleet.onWhole(Codec.fullConfigFromWire(push.getChanges(0)), now);
        } else {
            List<ConfigChange> changes = new ArrayList<>();
            push.getChangesList().forEach(c -> changes.add(Codec.fromWire(c)));
            any = mFleet.onChanges(changes, now);
        }
        if (any) {
            logInForce(link.peer().getHost());
            tellOthers(link);
        }
    }

    /** Sends the latest change to a few daemons drawn at random. */
    private void tellOthers(Link except) {
        List<ConfigChange> history = mFleet.log().history();
        ConfigPush push =
                history.isEmpty()
                        ? Codec.toConfigPush(mFleet.config())
                        : Codec.toConfigPush(List.of(history.get(history.size() - 1)));
        Packet packet = packet().setConfigPush(push).build();
        for (int i = 0; i < FANOUT; i++) {
            randomPeer()
                    .ifPresent(
                            h ->
                                    mLinks.connect(h.address())
                                            .thenAccept(l -> sendUnless(l, except, packet)));
        }
    }

    private static void sendUnless(Link link, Link except, Packet packet) {
        if (link != except) {
            link.send(packet);
        }
    }

    /** Tells one random daemon the load of this target and of a few others. */
    private void sendNotice() {
        long now = mClock.nowMillis();
        LoadNotice.Builder b = LoadNotice.newBuilder();
        mOwnDigest.get().ifPresent(d -> b.addDigests(Codec.toWireWithoutTarget(d, now)));
        newest().forEach(d -> b.addDigests(Codec.toWire(d, now)));
        Packet packet = packet().setLoadNotice(b).build();
        randomPeer().ifPresent(h -> mLinks.connect(h.address()).thenAccept(l -> l.send(packet)));
    }

    private List<LoadDigest> newest() {
        return mFleet.view().targets().stream()
                .flatMap(t -> t.digest().stream())
                .sorted((a, b) -> Long.compare(b.atMillis(), a.atMillis()))
                .limit(NOTICE_DIGESTS)
                .toList();
    }

    /** Asks every daemon for its version; completes when all have answered or the time is up. */
    public CompletableFuture<Map<String, Long>> versions(long withinMillis) {
        return query().ask("", mFleet.view().hosts(), withinMillis)
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
