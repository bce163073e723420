package org.forkseam.direct.know;

import io.netty.channel.EventLoop;

import org.forkseam.core.kernel.Service;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetChange;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.FleetSource;
import org.forkseam.direct.spi.SharedRows;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.Versioned;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Follows the configuration and the list of targets, and keeps the newest of each. Neither ever
 * goes back to an older version. Used on the event loop.
 *
 * @since 0.2
 */
public final class Knowledge implements Service {
    /** Name of the service. */
    public static final String NAME = "knowledge";

    /**
     * A wait for a new configuration is begun anew after so long, so that a lost one is noticed.
     */
    private static final long WAIT_MILLIS = 1_000;

    private static final long FIRST_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 500;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final FleetSource mSource;
    private final RandomGenerator mRandom;
    private final long mListMillis;
    private final TargetDirectory mTargets = TargetDirectory.create();
    private final PeerClient mPeers;
    private final Seats mSeats;
    private final Backoff mConfigBackoff = new Backoff();
    private final Backoff mListBackoff = new Backoff();
    private TrafficConfig mConfig = TrafficConfig.none();
    private long mConfigRevision;
    private long mConfigAt;
    private long mListAt;
    private boolean mListed;
    private boolean mAsking;
    private boolean mDown;
    private boolean mStopped;

    /**
     * Holds where knowledge comes from.
     *
     * @param fleet configuration and targets
     * @param shared rows that routers share
     * @param peers addresses of other routers, IP:PORT, asked while the store cannot be
     */
    public record Sources(FleetSource fleet, SharedRows shared, List<String> peers) {}

    private Knowledge(
            EventLoop loop,
            Clock clock,
            Sources sources,
            RandomGenerator random,
            String host,
            long listMs) {
        mLoop = loop;
        mClock = clock;
        mSource = sources.fleet();
        mRandom = random;
        mListMillis = listMs;
        mPeers = PeerClient.of(loop, clock, sources.peers());
        mSeats = new Seats(loop, clock, sources.shared(), random, host, mTargets);
    }

    /**
     * Creates the service.
     *
     * @param host name of this router's host
     * @param listMillis pause between two reads of the list of targets
     */
    public static Knowledge of(
            EventLoop loop,
            Clock clock,
            Sources sources,
            RandomGenerator random,
            String host,
            long listMillis) {
        return new Knowledge(loop, clock, sources, random, host, listMillis);
    }

    // ---------------------------------------------------------------- life-cycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        mLoop.execute(this::readConfig);
        mLoop.execute(this::readList);
        mLoop.execute(mSeats::start);
        mLoop.scheduleWithFixedDelay(
                () -> mSeats.plan(mConfig),
                mSeats.planMillis(),
                mSeats.planMillis(),
                TimeUnit.MILLISECONDS);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mLoop.execute(
                () -> {
                    mStopped = true;
                    mSeats.stop();
                });
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Object dump() {
        long now = mClock.nowMillis();
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("config_version", mConfig.version());
        m.put("config_age_ms", now - mConfigAt);
        m.put("routes", mConfig.routeCount());
        m.put("list_revision", mTargets.revision());
        m.put("list_age_ms", now - mListAt);
        m.put("targets", mTargets.all().size());
        m.put("source_down", mDown);
        return m;
    }

    // ---------------------------------------------------------------- public API

    /** Returns the newest configuration. */
    public TrafficConfig config() {
        return mConfig;
    }

    /** Returns the targets. */
    public TargetDirectory targets() {
        return mTargets;
    }

    /** Returns the seats of engine pools. */
    public Seats seats() {
        return mSeats;
    }

    /** Returns whether there is enough to serve callers: a configuration and a list of targets. */
    public boolean isComplete() {
        return mConfig.isKnown() && mListed;
    }

    /** Takes a configuration in, from whatever source, if it is newer. */
    public void offer(TrafficConfig c, String origin) {
        if (c.version() <= mConfig.version()) {
            return;
        }
        Event.always("config_in_force")
                .with("version", c.version())
                .with("before", mConfig.version())
                .with("routes", c.routeCount())
                .with("origin", origin)
                .log();
        mConfig = c;
    }

    // ---------------------------------------------------------------- configuration

    private void readConfig() {
        if (mStopped) {
            return;
        }
        mSource.readConfig().whenComplete(this::onConfig);
    }

    private void awaitConfig() {
        if (mStopped) {
            return;
        }
        mSource.awaitConfig(mConfigRevision, WAIT_MILLIS).whenComplete(this::onConfig);
    }

    private void onConfig(Versioned<Optional<TrafficConfig>> read, Throwable failure) {
        if (failure != null) {
            onConfigFailure(failure);
            return;
        }
        onAnswer();
        mConfigBackoff.reset();
        mConfigRevision = Math.max(mConfigRevision, read.revision());
        mConfigAt = mClock.nowMillis();
        read.value().ifPresent(c -> offer(c, "store"));
        awaitConfig();
    }

    private void onConfigFailure(Throwable failure) {
        boolean historyGone = failure instanceof SourceException s && s.isHistoryGone();
        if (!historyGone) {
            onNoAnswer(failure);
            askPeers();
        }
        later(mConfigBackoff.next(mRandom), this::readConfig);
    }

    // ---------------------------------------------------------------- targets

    private void readList() {
        if (mStopped) {
            return;
        }
        mSource.readTargets().whenComplete(this::onList);
    }

    private void onList(Versioned<List<TargetEntry>> read, Throwable failure) {
        if (failure != null) {
            onNoAnswer(failure);
            later(mListBackoff.next(mRandom), this::readList);
            return;
        }
        onAnswer();
        mListBackoff.reset();
        mListAt = mClock.nowMillis();
        mListed = true;
        mTargets.apply(read.revision(), read.value(), mListAt).forEach(this::logChange);
        later(mListMillis - mRandom.nextLong(mListMillis / 8 + 1), this::readList);
    }

    private void logChange(TargetChange c) {
        Event.always("target_" + c.kind().name().toLowerCase(java.util.Locale.ROOT))
                .with("target", c.entry().id())
                .with("pool", c.entry().pool())
                .with("address", c.entry().address())
                .with("list", mTargets.revision())
                .log();
    }

    // ---------------------------------------------------------------- other routers

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
        offer(s.config(), "peer");
        if (!s.targets().isEmpty()) {
            mListed = true;
            mTargets.apply(s.listRevision(), s.targets(), mClock.nowMillis())
                    .forEach(this::logChange);
        }
    }

    /** Returns what this router knows, for another; empty while it knows too little to serve. */
    public Optional<byte[]> snapshot() {
        if (!isComplete()) {
            return Optional.empty();
        }
        List<TargetEntry> entries = mTargets.all().stream().map(Target::entry).toList();
        return Optional.of(PeerSnapshot.of(mConfig, mTargets.revision(), entries).write());
    }

    // ---------------------------------------------------------------- the source itself

    private void onAnswer() {
        if (mDown) {
            mDown = false;
            long now = mClock.nowMillis();
            mTargets.onSourceBack(now, now - mListAt);
            Event.always("store_back")
                    .with("config", mConfig.version())
                    .with("list_age_ms", now - mListAt)
                    .log();
        }
    }

    private void onNoAnswer(Throwable failure) {
        if (!mDown) {
            mDown = true;
            Event.always("store_lost").with("cause", failure.getMessage()).log();
        }
    }

    private void later(long millis, Runnable task) {
        mLoop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    /** Gives growing pauses between failed reads. */
    private static final class Backoff {
        private long mNext = FIRST_BACKOFF_MILLIS;

        long next(RandomGenerator random) {
            long pause = mNext / 2 + random.nextLong(mNext);
            mNext = Math.min(MAX_BACKOFF_MILLIS, mNext * 2);
            return pause;
        }

        void reset() {
            mNext = FIRST_BACKOFF_MILLIS;
        }
    }
}
