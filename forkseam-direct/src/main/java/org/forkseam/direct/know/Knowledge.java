package org.forkseam.direct.know;

import io.netty.channel.EventLoop;

import org.forkseam.core.admit.ColdShare;
import org.forkseam.core.kernel.Service;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.route.PromptHolderIndex;
import org.forkseam.core.share.LoadGossip;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.FleetSource;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Holds what a router knows: the configuration, the targets and their load, the seats of engine
 * pools, and the other routers. Each is followed by a class of its own; this one brings them
 * together and takes the messages of other routers. Used on the event loop.
 *
 * @since 0.2
 */
public final class Knowledge implements Service {
    /** Name of the service. */
    public static final String NAME = "knowledge";

    /** Other routers are heard some times a second; a pause so long means that a way is cut. */
    private static final long SILENCE_MILLIS = 1_000;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final Supplier<Map<String, Long>> mCalls;
    private final Supplier<Map<String, Long>> mUnusable;
    private final PeerLink mLink;
    private final PeerClient mPeers;
    private final StoreEra mEra = new StoreEra();
    private final SourceWatch mWatch = new SourceWatch(this::onSourceBack);
    private final ConfigFollower mConfig;
    private final TargetFollower mTargets;
    private final RowFollower mRows;
    private final Seats mSeats;
    private final Quarantine mQuarantine;
    private final Learned mLearned;
    private final TargetWords mWords;
    private long mEvacuationChanges;
    private long mHeardAt;
    private boolean mAsking;
    private boolean mStopped;

    /**
     * Holds where knowledge comes from.
     *
     * @param fleet configuration and targets
     * @param shared rows that routers share
     * @param peers addresses of other routers, IP:PORT, asked while the store cannot be
     * @param calls tells the calls made to the store since the start, by kind
     */
    public record Sources(
            FleetSource fleet,
            SharedRows shared,
            List<String> peers,
            Supplier<Map<String, Long>> calls) {}

    /**
     * Names this router to the others.
     *
     * @param host name of its host
     * @param notices where it takes messages of other routers
     */
    public record Self(String host, InetSocketAddress notices) {
        String text() {
            return notices.getAddress().getHostAddress() + ":" + notices.getPort();
        }
    }

    private Knowledge(
            EventLoop loop,
            Clock clock,
            Sources sources,
            RandomGenerator random,
            Self self,
            long listMillis) {
        mLoop = loop;
        mClock = clock;
        mCalls = sources.calls();
        mUnusable = sources.fleet()::unusableEntries;
        mLink = new PeerLink(loop, self, random, this::onMessage);
        mPeers = PeerClient.of(loop, clock, sources.peers());
        FollowerBase.Surroundings around =
                new FollowerBase.Surroundings(
                        loop, clock, random, mLink, mWatch, mEra, this::isComplete);
        FleetSource fleet = new CheckedFleetSource(sources.fleet(), mEra);
        mTargets = new TargetFollower(around, fleet, listMillis, this::onRestart);
        mConfig = new ConfigFollower(around, fleet, new OperatorListener());
        SharedRows shared = new CheckedSharedRows(sources.shared(), mEra);
        mRows = new RowFollower(around, shared, this::onRow);
        mSeats = new Seats(around, shared, mRows, mTargets.targets());
        mQuarantine = new Quarantine(around, shared, mRows);
        mWords = new TargetWords(mTargets.targets(), clock);
        mLearned = new Learned(clock, mTargets.targets(), mQuarantine, mWords);
    }

    /**
     * Creates the service.
     *
     * @param self this router, as others know it
     * @param listMillis pause between two reads of the list of targets
     */
    public static Knowledge of(
            EventLoop loop,
            Clock clock,
            Sources sources,
            RandomGenerator random,
            Self self,
            long listMillis) {
        return new Knowledge(loop, clock, sources, random, self, listMillis);
    }

    // ---------------------------------------------------------------- life-cycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        mLoop.execute(mConfig::start);
        mLoop.execute(mTargets::start);
        mLoop.execute(mRows::start);
        mLoop.execute(mQuarantine::start);
        every(mSeats.planMillis(), () -> mSeats.plan(config()));
        every(LoadGossip.PERIOD_MILLIS, this::tellLearned);
        return mLink.listen();
    }

    private void every(long millis, Runnable task) {
        mLoop.scheduleWithFixedDelay(task, millis, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mLoop.execute(
                () -> {
                    mStopped = true;
                    mConfig.stop();
                    mTargets.stop();
                    mSeats.stop();
                    mQuarantine.stop();
                    mRows.stop();
                    mLink.close();
                });
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Object dump() {
        long now = mClock.nowMillis();
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("config_version", config().version());
        m.put("config_age_ms", now - mConfig.confirmedAt());
        m.put("routes", config().routeCount());
        m.put("evacuated", evacuated());
        m.put("list_position", targets().position().toString());
        m.put("list_age_ms", now - mTargets.confirmedAt());
        m.put("targets", targets().all().size());
        m.put("unusable_entries", mUnusable.get());
        m.put("target_words", mWords.dump());
        m.put("routers", mLink.routers());
        m.put("seats", mSeats.dump());
        m.put("quarantine", mQuarantine.dump());
        m.put("crash_suspects", mQuarantine.suspects());
        m.put("messages_sent", mLink.sent());
        m.put("store_calls", mCalls.get());
        m.put("source_down", mWatch.isDown());
        m.put("store_era", mEra.newest());
        m.put("store_returns", mEra.returns());
        m.put("store_eras_refused", mEra.refused());
        return m;
    }

    // ---------------------------------------------------------------- public API

    /** Sets the pause between two reads of the list of targets. */
    public void setListMillis(long millis) {
        mLoop.execute(() -> mTargets.setPauseMillis(millis));
    }

    /** Returns the newest configuration. */
    public TrafficConfig config() {
        return mConfig.config();
    }

    /** Returns the failure domains that operators have asked to send nothing to. */
    public Set<String> evacuated() {
        return mConfig.evacuations().domains();
    }

    /** Returns how often the evacuated failure domains have changed since the start. */
    public long evacuationChanges() {
        return mEvacuationChanges;
    }

    /** Returns the targets. */
    public TargetDirectory targets() {
        return mTargets.targets();
    }

    /** Returns the seats of engine pools. */
    public Seats seats() {
        return mSeats;
    }

    /** Returns which requests are kept from targets. */
    public Quarantine quarantine() {
        return mQuarantine;
    }

    /** Returns what takes in what targets say of themselves in their answers. */
    public TargetWords words() {
        return mWords;
    }

    /** Returns which targets have answered which keys. */
    public PromptHolderIndex holders() {
        return mLearned.holders();
    }

    /** Notes that a target has answered a request with a key, and so has read its prompt. */
    public void onAnswered(String pool, long key, Target t) {
        mLearned.onAnswered(key, t, mSeats.tellsOf(pool, key, t.entry().id()));
    }

    /** Returns this router's share of what a target takes, or empty while routers are unknown. */
    public Optional<ColdShare> shareFor(long targetHash) {
        return mRows.knowsRouters() ? Optional.of(mLink.shareFor(targetHash)) : Optional.empty();
    }

    /** Returns the number of entries among the targets' that name none. */
    public long unusableEntries() {
        return mUnusable.get().values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns which era the store is in, as far as it was seen. */
    public int storeEra() {
        return mEra.newest();
    }

    /** Returns how often the store was seen to come back from an older copy. */
    public long storeReturns() {
        return mEra.returns();
    }

    /** Returns how often an era of the store was not believed. */
    public long storeErasRefused() {
        return mEra.refusals();
    }

    /** Returns the number of routers known, at least this one. */
    public int routers() {
        return mLink.routers();
    }

    /** Returns the calls made to the store since the start, by kind. */
    public Map<String, Long> storeCalls() {
        return mCalls.get();
    }

    /** Returns whether there is enough to serve callers: a configuration and a list of targets. */
    public boolean isComplete() {
        return config().isKnown() && mTargets.isListed();
    }

    // ---------------------------------------------------------------- other routers

    private void onMessage(PeerMessage m, InetSocketAddress sender) {
        if (mStopped) {
            return;
        }
        noteHeard(m);
        if (!isOfPossibleEra(m)) {
            return;
        }
        if (m instanceof PeerMessage.Learned l) {
            mLearned.take(l);
            return;
        }
        if (m instanceof PeerMessage.Operators o) {
            mConfig.onMessage(o, sender);
            return;
        }
        if (m instanceof PeerMessage.Config c) {
            mConfig.onChange(c.change());
            return;
        }
        if (mWatch.isDown()) {
            return; // what is kept through an outage is decided by reading anew
        }
        if (m instanceof PeerMessage.Targets t) {
            mTargets.onNews(t.news());
        } else if (m instanceof PeerMessage.Rows r) {
            mRows.onMessage(r, sender);
        } else if (m instanceof PeerNotice n) {
            mTargets.onNotice(n);
        }
    }

    /** Takes in the era that a message names; one of before says what was known then, no more. */
    private boolean isOfPossibleEra(PeerMessage m) {
        Optional<StorePosition> p = m.storePosition();
        return p.isEmpty() || p.get().era() <= mEra.newest() || mEra.accepts(p.get(), "peer");
    }

    /**
     * Tries the store at once where another router shows that it can be reached: one that is heard
     * after a silence, so that this router was cut off itself, or one that has read the list. By
     * its own pauses a router that was cut off is behind for up to three seconds more.
     */
    private void noteHeard(PeerMessage m) {
        long now = mClock.nowMillis();
        boolean afterSilence = now - mHeardAt > SILENCE_MILLIS;
        boolean hasRead = m instanceof PeerNotice || m instanceof PeerMessage.Targets;
        mHeardAt = now;
        if (mWatch.isDown() && (afterSilence || hasRead)) {
            mTargets.retry();
        }
    }

    private void onRestart(String targetId) {
        mSeats.onRestart(targetId);
    }

    private void onRow(SharedRow row) {
        mSeats.take(row);
        mQuarantine.take(row);
    }

    /** Takes in what the follower of the operators learns. */
    private final class OperatorListener implements ConfigFollower.Listener {
        @Override
        public void onIgnorant() {
            askPeers();
        }

        @Override
        public void onEvacuated(Set<String> domains) {
            mEvacuationChanges++;
            targets().setEvacuated(domains, mClock.nowMillis());
        }
    }

    private void tellLearned() {
        if (!mStopped) {
            mLearned.news().ifPresent(mLink::tellAny);
        }
    }

    /** Asks another router while this one knows too little to serve. */
    private void askPeers() {
        if (isComplete() || mAsking || !mPeers.hasPeers()) {
            return;
        }
        mAsking = true;
        mPeers.ask().whenComplete(this::onPeer);
    }

    private void onPeer(PeerSnapshot s, Throwable failure) {
        mAsking = false;
        if (failure != null) {
            Event.of("peer_knows_nothing").with("cause", failure.getMessage()).log();
            return;
        }
        mConfig.offer(s.config(), "peer");
        mConfig.offerEvacuations(s.evacuations().position(), s.evacuations().domains(), "peer");
        mTargets.onSnapshot(s.listPosition(), s.targets());
        mRows.onSnapshot(s.rows());
    }

    /** Returns what this router knows, for another; empty while it knows too little to serve. */
    public Optional<byte[]> snapshot() {
        if (!isComplete()) {
            return Optional.empty();
        }
        List<TargetEntry> entries = targets().all().stream().map(Knowledge::told).toList();
        return Optional.of(
                PeerSnapshot.of(
                                config(),
                                targets().position(),
                                entries,
                                mRows.known(),
                                mConfig.evacuations())
                        .write());
    }

    /** Tells of a target that leaves as leaving, also where its row does not say so. */
    private static TargetEntry told(Target t) {
        return t.availability().isLeaving() ? t.entry().withLeaving() : t.entry();
    }

    // ---------------------------------------------------------------- the source itself

    private void onSourceBack() {
        long now = mClock.nowMillis();
        long listAge = now - mTargets.confirmedAt();
        targets().onSourceBack(now, listAge);
        Event.always("store_back")
                .with("config", config().version())
                .with("list_age_ms", listAge)
                .log();
    }
}
