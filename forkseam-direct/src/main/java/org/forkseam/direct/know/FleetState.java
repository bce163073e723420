package org.forkseam.direct.know;

import io.netty.channel.EventLoop;

import org.forkseam.core.admit.ColdStartShare;
import org.forkseam.core.kernel.Service;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetChange;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.member.VersionHistory;
import org.forkseam.core.place.PlacementPolicy;
import org.forkseam.core.route.PromptHolderIndex;
import org.forkseam.core.share.LoadGossip;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.io.ReadBarrier;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.log.GuardedSteps;
import org.forkseam.direct.spi.FleetSource;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;
import org.forkseam.direct.spi.StreamRecords;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Holds this router's view of the fleet: configuration, targets and their load, shard tables of
 * engine pools, and the other routers. Delegates each part to a follower and dispatches messages of
 * other routers. Confined to the event loop.
 *
 * @since 0.2
 */
public final class FleetState implements Service {
    /** Name of the service. */
    public static final String NAME = "knowledge";

    /**
     * A longer gap between messages of other routers indicates a network partition; they send
     * several messages a second.
     */
    private static final long PEER_SILENCE_MILLIS = 1_000;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final Supplier<Map<String, Long>> mCalls;
    private final Supplier<Map<String, Long>> mUnusable;
    private final GuardedSteps mSteps;
    private boolean mHadConfig;
    private final PeerGroup mPeerGroup;
    private final PeerClient mPeerClient;
    private final StoreEra mEra = new StoreEra();
    private final StoreHealth mStoreHealth = new StoreHealth(this::onStoreRecovered);
    private final ConfigFollower mConfigFollower;
    private final TargetFollower mTargetFollower;
    private final RowFollower mRowFollower;
    private final ShardTables mShardTables;
    private final VersionRecords mVersionRecords;
    private final Quarantine mQuarantine;
    private final TargetObservations mObservations;
    private final TargetSignals mSignals;
    private final StreamOrigins mStreamOrigins;
    private final PlacementPolicy mPlacementPolicy = PlacementPolicy.create();
    private final WarmPools mWarmPools;
    private final PromptPlacements mPlacements;
    private long mEvacuationChanges;
    private long mLastMessageAt;
    private boolean mSnapshotRequested;
    private boolean mStopped;

    /**
     * Holds the data sources of the service.
     *
     * @param fleet configuration and targets
     * @param shared rows that routers share
     * @param streams records of streams
     * @param peers addresses of other routers, IP:PORT, queried while the store is unavailable
     * @param calls supplies the number of calls to the store since the start, by kind
     */
    public record Sources(
            FleetSource fleet,
            SharedRows shared,
            StreamRecords streams,
            List<String> peers,
            Supplier<Map<String, Long>> calls) {}

    /**
     * Identifies this router to the others.
     *
     * @param host name of its host
     * @param peerAddress UDP address on which it receives messages of other routers
     */
    public record RouterIdentity(String host, InetSocketAddress peerAddress) {
        String peerAddressText() {
            return peerAddress.getAddress().getHostAddress() + ":" + peerAddress.getPort();
        }
    }

    private FleetState(
            EventLoop loop,
            Clock clock,
            Sources sources,
            RandomGenerator random,
            RouterIdentity self,
            long listMillis) {
        mLoop = loop;
        mClock = clock;
        mCalls = sources.calls();
        mUnusable = sources.fleet()::invalidEntries;
        mSteps = GuardedSteps.of(clock);
        mPeerGroup = new PeerGroup(loop, self, random, this::onMessage);
        mPeerClient = PeerClient.of(loop, clock, sources.peers());
        FollowerBase.Context context =
                new FollowerBase.Context(
                        loop, clock, random, mPeerGroup, mStoreHealth, mEra, this::isComplete);
        FleetSource fleet = new EraCheckedFleetSource(sources.fleet(), mEra);
        mTargetFollower = new TargetFollower(context, fleet, listMillis, this::onTargetChange);
        mConfigFollower = new ConfigFollower(context, fleet, new OperatorListener());
        SharedRows shared = new EraCheckedSharedRows(sources.shared(), mEra);
        mRowFollower = new RowFollower(context, shared, this::onRow);
        mShardTables = new ShardTables(context, shared, mRowFollower, mTargetFollower.targets());
        mVersionRecords = new VersionRecords(context, shared, mRowFollower, versions());
        mQuarantine = new Quarantine(context, shared, mRowFollower);
        mStreamOrigins = StreamOrigins.of(context, versions(), sources.streams());
        mWarmPools = new WarmPools(context, shared, mRowFollower, mPlacementPolicy);
        mPlacements =
                new PromptPlacements(
                        ReadBarrier.of(loop)::schedule,
                        clock,
                        mPeerGroup,
                        mTargetFollower.targets(),
                        Hashes.mix(Hashes.of(self.host()), random.nextLong()));
        mSignals = new TargetSignals(mTargetFollower.targets(), clock);
        mObservations =
                new TargetObservations(clock, mTargetFollower.targets(), mQuarantine, mSignals);
    }

    /**
     * Creates the service.
     *
     * @param self identity of this router
     * @param listMillis interval between reads of the list of targets, in milliseconds
     */
    public static FleetState of(
            EventLoop loop,
            Clock clock,
            Sources sources,
            RandomGenerator random,
            RouterIdentity self,
            long listMillis) {
        return new FleetState(loop, clock, sources, random, self, listMillis);
    }

    // ---------------------------------------------------------------- lifecycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        mLoop.execute(mConfigFollower::start);
        mLoop.execute(mTargetFollower::start);
        mLoop.execute(mRowFollower::start);
        mLoop.execute(mQuarantine::start);
        scheduleEvery(mShardTables.planPeriodMillis(), "rows", this::planRows);
        scheduleEvery(LoadGossip.PERIOD_MILLIS, "observations", this::sendObservations);
        return mPeerGroup.listen();
    }

    private void planRows() {
        if (!mHadConfig && config().isKnown()) {
            mHadConfig = true;
            mStreamOrigins.onFirstConfig();
        }
        mSteps.run("shard_tables", () -> mShardTables.plan(config()));
        versions().onRecordsCurrent(mRowFollower.currentAt());
        mSteps.run("version_records", mVersionRecords::plan);
        mSteps.run("warm_pools", mWarmPools::plan);
        mSteps.run("placements", mPlacements::dropUnused);
    }

    private void scheduleEvery(long millis, String name, Runnable task) {
        mLoop.scheduleWithFixedDelay(
                mSteps.guard(name, task), millis, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mLoop.execute(
                () -> {
                    mStopped = true;
                    mConfigFollower.stop();
                    mTargetFollower.stop();
                    mShardTables.stop();
                    mVersionRecords.stop();
                    mWarmPools.stop();
                    mQuarantine.stop();
                    mRowFollower.stop();
                    mPeerGroup.close();
                });
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Object dump() {
        long now = mClock.nowMillis();
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("config_version", config().version());
        m.put("config_age_ms", now - mConfigFollower.confirmedAt());
        m.put("routes", config().routeCount());
        m.put("evacuated", evacuated());
        m.put("list_position", targets().position().toString());
        m.put("list_age_ms", now - mTargetFollower.confirmedAt());
        m.put("targets", targets().all().size());
        m.put("unusable_entries", mUnusable.get());
        m.put("target_words", mSignals.dump());
        m.put("routers", mPeerGroup.routerCount());
        m.put("seats", mShardTables.dump());
        m.put("quarantine", mQuarantine.dump());
        m.put("crash_suspects", mQuarantine.suspects());
        m.put("stream_origins", mStreamOrigins.dump());
        m.put("placements", mPlacements.dump());
        m.put("messages_sent", mPeerGroup.messagesSent());
        m.put("store_calls", mCalls.get());
        m.put("source_down", mStoreHealth.isDown());
        m.put("store_era", mEra.newest());
        m.put("store_returns", mEra.restores());
        m.put("store_eras_refused", mEra.refused());
        return m;
    }

    // ---------------------------------------------------------------- public API

    /** Sets the interval between reads of the list of targets. */
    public void setListMillis(long millis) {
        mLoop.execute(() -> mTargetFollower.setPauseMillis(millis));
    }

    /** Returns the newest configuration. */
    public TrafficConfig config() {
        return mConfigFollower.config();
    }

    /** Returns whether a route has had the same pools for as long as streams last. */
    public boolean isRouteSettled(Route route) {
        return mConfigFollower
                .routing()
                .isUnchangedFor(route, VersionHistory.STREAM_LIFETIME_MILLIS, mClock.nowMillis());
    }

    /** Returns the failure domains that operators have evacuated. */
    public Set<String> evacuated() {
        return mConfigFollower.evacuations().domains();
    }

    /** Returns the number of changes of the evacuated failure domains since the start. */
    public long evacuationChanges() {
        return mEvacuationChanges;
    }

    /** Returns the targets. */
    public TargetDirectory targets() {
        return mTargetFollower.targets();
    }

    /** Returns the shard tables of engine pools. */
    public ShardTables shardTables() {
        return mShardTables;
    }

    /** Returns the quarantine of requests that crash targets. */
    public Quarantine quarantine() {
        return mQuarantine;
    }

    /** Returns which software began streams. */
    public StreamOrigins streamOrigins() {
        return mStreamOrigins;
    }

    /** Returns the coordinated placement of prompts. */
    public PromptPlacements placements() {
        return mPlacements;
    }

    /** Returns which requests coordinators place. */
    public PlacementPolicy placementPolicy() {
        return mPlacementPolicy;
    }

    /** Returns the software versions of each pool. */
    public VersionHistory versions() {
        return mTargetFollower.versions();
    }

    /** Returns the handler of signals that targets send in their responses. */
    public TargetSignals signals() {
        return mSignals;
    }

    /** Returns which targets have processed the prompts of which keys. */
    public PromptHolderIndex holders() {
        return mObservations.holders();
    }

    /** Records that a target has answered a request with a key and so has processed its prompt. */
    public void onAnswered(String pool, long key, Target t) {
        mObservations.onAnswered(key, t, mShardTables.isImpliedHolder(pool, key, t.entry().id()));
    }

    /**
     * Returns this router's share of a cold target's capacity; empty while the other routers are
     * unknown.
     */
    public Optional<ColdStartShare> shareFor(long targetHash) {
        return mRowFollower.knowsRouters()
                ? Optional.of(mPeerGroup.shareFor(targetHash))
                : Optional.empty();
    }

    /** Returns the number of unusable entries in the list of targets. */
    public long unusableEntries() {
        return mUnusable.get().values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the newest known era of the store. */
    public int storeEra() {
        return mEra.newest();
    }

    /** Returns how often the store was observed to have been restored from an older copy. */
    public long storeRestores() {
        return mEra.restores();
    }

    /** Returns how often an implausible era of the store was refused. */
    public long storeErasRefused() {
        return mEra.refusals();
    }

    /**
     * Returns the number of routers, including this one; empty while the other routers are unknown.
     */
    public OptionalInt knownRouters() {
        return mRowFollower.knowsRouters() ? OptionalInt.of(routers()) : OptionalInt.empty();
    }

    /** Returns the number of known routers, including this one. */
    public int routers() {
        return mPeerGroup.routerCount();
    }

    /** Returns the number of calls to the store since the start, by kind. */
    public Map<String, Long> storeCalls() {
        return mCalls.get();
    }

    /**
     * Returns whether a configuration and a list of targets are known, which is required to serve
     * callers.
     */
    public boolean isComplete() {
        return config().isKnown() && mTargetFollower.hasList();
    }

    // ---------------------------------------------------------------- other routers

    private void onMessage(PeerMessage m, InetSocketAddress sender) {
        if (mStopped) {
            return;
        }
        onPeerHeard(m);
        if (!hasPlausibleEra(m)) {
            return;
        }
        if (m instanceof PeerMessage.Observations b) {
            mObservations.apply(b);
            return;
        }
        if (m instanceof PeerMessage.StreamOrigins s) {
            mStreamOrigins.onOrigins(s, sender);
            return;
        }
        if (m instanceof PeerMessage.RecordStreams r) {
            mStreamOrigins.onRecordRequest(r, sender);
            return;
        }
        if (m instanceof PeerMessage.StreamsRecorded r) {
            mStreamOrigins.onRecorded(r);
            return;
        }
        if (m instanceof PeerMessage.StreamQuery q) {
            mStreamOrigins.onQuery(q, sender);
            return;
        }
        if (m instanceof PeerMessage.PlacePrompt p) {
            mPlacements.onQuery(p.query(), sender);
            return;
        }
        if (m instanceof PeerMessage.PlacementAnswer a) {
            mPlacements.onReply(a.reply());
            return;
        }
        if (m instanceof PeerMessage.PromptPlaced p) {
            mPlacements.onDone(p.done(), sender);
            return;
        }
        if (m instanceof PeerMessage.Operators o) {
            mConfigFollower.onMessage(o, sender);
            return;
        }
        if (m instanceof PeerMessage.Config c) {
            mConfigFollower.onConfigChange(c.change());
            return;
        }
        if (mStoreHealth.isDown()) {
            return; // the read after the outage resolves what was kept
        }
        if (m instanceof PeerMessage.Targets t) {
            mTargetFollower.onListChange(t.delta());
        } else if (m instanceof PeerMessage.Rows r) {
            mRowFollower.onMessage(r, sender);
        } else if (m instanceof PeerNotice n) {
            mTargetFollower.onNotice(n);
        }
    }

    /**
     * Tracks the era of a message. A message of an earlier era passes: the handlers ignore outdated
     * content.
     */
    private boolean hasPlausibleEra(PeerMessage m) {
        Optional<StorePosition> p = m.storePosition();
        return p.isEmpty() || p.get().era() <= mEra.newest() || mEra.accepts(p.get(), "peer");
    }

    /**
     * Retries the store immediately, without waiting for the backoff, if a message indicates that
     * it is reachable again: either the first message after a silence, which means that a partition
     * has healed, or one whose sender has just read the list.
     */
    private void onPeerHeard(PeerMessage m) {
        long now = mClock.nowMillis();
        boolean afterSilence = now - mLastMessageAt > PEER_SILENCE_MILLIS;
        boolean hasRead = m instanceof PeerNotice || m instanceof PeerMessage.Targets;
        mLastMessageAt = now;
        if (mStoreHealth.isDown() && (afterSilence || hasRead)) {
            mTargetFollower.retry();
        }
    }

    private void onTargetChange(TargetChange c) {
        if (c.kind() == TargetChange.Kind.RESTARTED) {
            mShardTables.onRestart(c.entry().id());
        }
        if (c.kind() == TargetChange.Kind.RESTARTED || c.kind() == TargetChange.Kind.JOINED) {
            mPlacementPolicy.onEngineStarted(c.entry().id(), mClock.nowMillis());
        }
    }

    private void onRow(SharedRow row) {
        mShardTables.apply(row);
        mVersionRecords.apply(row);
        mWarmPools.apply(row);
        mQuarantine.apply(row);
    }

    /** Forwards the operators' changes. */
    private final class OperatorListener implements ConfigFollower.Listener {
        @Override
        public void onStoreUnavailable() {
            requestSnapshot();
        }

        @Override
        public void onEvacuated(Set<String> domains) {
            mEvacuationChanges++;
            targets().setEvacuatedDomains(domains, mClock.nowMillis());
        }
    }

    private void sendObservations() {
        if (!mStopped) {
            mObservations.digest().ifPresent(mPeerGroup::sendToRandomPeer);
        }
    }

    /** Requests a snapshot from another router while this one cannot serve callers. */
    private void requestSnapshot() {
        if (isComplete() || mSnapshotRequested || !mPeerClient.hasPeers()) {
            return;
        }
        mSnapshotRequested = true;
        mPeerClient.requestSnapshot().whenComplete(this::onSnapshot);
    }

    private void onSnapshot(PeerSnapshot s, Throwable failure) {
        mSnapshotRequested = false;
        if (failure != null) {
            Event.of("peer_knows_nothing").with("cause", failure.getMessage()).log();
            return;
        }
        mConfigFollower.offer(s.config(), "peer");
        mConfigFollower.offerEvacuations(
                s.evacuations().position(), s.evacuations().domains(), "peer");
        mTargetFollower.onSnapshot(s.listPosition(), s.targets());
        mRowFollower.onSnapshot(s.rows());
    }

    /** Returns a snapshot for another router; empty while this one cannot serve callers. */
    public Optional<byte[]> snapshot() {
        if (!isComplete()) {
            return Optional.empty();
        }
        List<TargetEntry> entries =
                targets().all().stream().map(FleetState::toSnapshotEntry).toList();
        return Optional.of(
                PeerSnapshot.of(
                                config(),
                                targets().position(),
                                entries,
                                mRowFollower.rows(),
                                mConfigFollower.evacuations())
                        .write());
    }

    /** Marks a leaving target as leaving also if its row does not. */
    private static TargetEntry toSnapshotEntry(Target t) {
        return t.availability().isLeaving() ? t.entry().withLeaving() : t.entry();
    }

    // ---------------------------------------------------------------- store

    private void onStoreRecovered() {
        long now = mClock.nowMillis();
        long listAge = now - mTargetFollower.confirmedAt();
        targets().onSourceRecovered(now, listAge);
        Event.always("store_back")
                .with("config", config().version())
                .with("list_age_ms", listAge)
                .log();
    }
}
