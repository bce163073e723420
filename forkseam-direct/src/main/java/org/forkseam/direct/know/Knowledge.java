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

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
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

    /**
     * Another router that waits for configurations is heard each second; this allows for one loss.
     */
    private static final long HEARD_MILLIS = 1_150;

    /** Routers read at random moments in such a span, so that mostly one reads for all. */
    private static final long SPREAD_MILLIS = 250;

    private static final long FIRST_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 500;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final FleetSource mSource;
    private final RandomGenerator mRandom;
    private long mListMillis;
    private final TargetDirectory mTargets = TargetDirectory.create();
    private final Self mSelf;
    private final PeerChannel mChannel;
    private final PeerClient mPeers;
    private final Seats mSeats;
    private final Backoff mConfigBackoff = new Backoff();
    private final Backoff mListBackoff = new Backoff();
    private TrafficConfig mConfig = TrafficConfig.none();
    private long mConfigRevision;
    private long mConfigAt;
    private long mListAt;
    private boolean mListed;
    private long mConfigHeardAt = Long.MIN_VALUE / 2;
    private long mConfigReadAt = Long.MIN_VALUE;
    private long mListReadAt = Long.MIN_VALUE;
    private long mSourceOffset;
    private long mListFingerprint;
    private ScheduledFuture<?> mNextList;
    private boolean mReadingConfig;
    private boolean mReadingList;
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

    /**
     * Names this router to the others.
     *
     * @param host name of its host
     * @param notices where it takes notices of other routers
     */
    public record Self(String host, InetSocketAddress notices) {
        private String text() {
            return notices.getAddress().getHostAddress() + ":" + notices.getPort();
        }
    }

    private Knowledge(
            EventLoop loop,
            Clock clock,
            Sources sources,
            RandomGenerator random,
            Self self,
            long listMs) {
        mLoop = loop;
        mClock = clock;
        mSource = sources.fleet();
        mRandom = random;
        mListMillis = listMs;
        mSelf = self;
        mChannel = new PeerChannel(loop, this::onNotice);
        mPeers = PeerClient.of(loop, clock, sources.peers());
        mSeats =
                new Seats(
                        loop,
                        clock,
                        sources.shared(),
                        random,
                        new Seats.Self(self.host(), self.text()),
                        mTargets);
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
        mLoop.execute(this::readConfig);
        mLoop.execute(this::readList);
        mLoop.execute(mSeats::start);
        mLoop.scheduleWithFixedDelay(
                () -> mSeats.plan(mConfig),
                mSeats.planMillis(),
                mSeats.planMillis(),
                TimeUnit.MILLISECONDS);
        return mChannel.listen(mSelf.notices());
    }

    @Override
    public CompletableFuture<Void> stop() {
        mLoop.execute(
                () -> {
                    mStopped = true;
                    mSeats.stop();
                    mChannel.close();
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

    /** Sets the pause between two reads of the list of targets. */
    public void setListMillis(long millis) {
        mLoop.execute(() -> mListMillis = millis);
    }

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

    /**
     * Waits for a newer configuration, unless another router does and tells what it hears: then
     * this one only looks whether the other is still heard.
     */
    private void followConfig() {
        if (mStopped) {
            return;
        }
        long quiet = mConfigHeardAt + HEARD_MILLIS - mClock.nowMillis();
        if (quiet > 0) {
            later(quiet + mRandom.nextLong(SPREAD_MILLIS), this::followConfig);
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
        mConfigReadAt = Math.max(mConfigReadAt, read.readAt());
        tell(PeerNotice.Kind.CONFIG, read.readAt(), mConfig.version());
        followConfig();
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
        if (mStopped || mReadingList) {
            return;
        }
        mReadingList = true;
        mSource.readTargets().whenComplete(this::onList);
    }

    private void onList(Versioned<List<TargetEntry>> read, Throwable failure) {
        mReadingList = false;
        if (failure != null) {
            onNoAnswer(failure);
            readListIn(mListBackoff.next(mRandom), this::readList);
            return;
        }
        onAnswer();
        mListBackoff.reset();
        mListAt = mClock.nowMillis();
        mListed = true;
        mTargets.apply(read.revision(), read.value(), mListAt).forEach(this::logChange);
        mListFingerprint = fingerprint(read.value());
        mListReadAt = read.readAt();
        mSourceOffset = mListAt - read.readAt();
        tell(PeerNotice.Kind.LIST, read.readAt(), mListFingerprint);
        readListIn(mListMillis + mRandom.nextLong(SPREAD_MILLIS), this::readListIfDue);
    }

    /** Plans the next read in place of the one planned: a read that a notice began adds none. */
    private void readListIn(long millis, Runnable read) {
        if (mNextList != null) {
            mNextList.cancel(false);
        }
        mNextList = mLoop.schedule(read, millis, TimeUnit.MILLISECONDS);
    }

    /** Reads the list unless another router has just read the same one. */
    private void readListIfDue() {
        long wait = mListAt + mListMillis - mClock.nowMillis();
        if (wait > 0) {
            readListIn(wait + mRandom.nextLong(SPREAD_MILLIS), this::readListIfDue);
            return;
        }
        readList();
    }

    private static long fingerprint(List<TargetEntry> entries) {
        long sum = entries.size();
        for (TargetEntry e : entries) {
            sum += e.fingerprint(); // a sum, since the order says nothing
        }
        return sum;
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

    private void tell(PeerNotice.Kind kind, long readAt, long fingerprint) {
        mChannel.send(new PeerNotice(kind, readAt, fingerprint), mSeats.otherRouters());
    }

    /** Takes another router's reading in place of an own one, if it is newer and the same. */
    private void onNotice(PeerNotice n, InetSocketAddress sender) {
        if (mStopped || mDown) {
            return;
        }
        if (n.kind() == PeerNotice.Kind.CONFIG) {
            onConfigNotice(n, sender);
        } else {
            onListNotice(n);
        }
    }

    private void onConfigNotice(PeerNotice n, InetSocketAddress sender) {
        if (n.fingerprint() > mConfig.version()) {
            readConfigNow();
            return;
        }
        if (n.readAt() <= mConfigReadAt || n.fingerprint() < mConfig.version()) {
            return;
        }
        mConfigReadAt = n.readAt();
        mConfigAt = mClock.nowMillis();
        if (goesBefore(sender)) {
            mConfigHeardAt = mConfigAt;
        }
    }

    /** Of two routers that wait for the same, the one with the lower address goes on. */
    private boolean goesBefore(InetSocketAddress other) {
        InetSocketAddress own = mSelf.notices();
        int byHost =
                Arrays.compareUnsigned(
                        other.getAddress().getAddress(), own.getAddress().getAddress());
        return byHost != 0 ? byHost < 0 : other.getPort() < own.getPort();
    }

    /**
     * Reads beside the loop that follows the configuration, whatever that is waiting for. One read
     * at a time: several large ones at once would fill a narrow link and none would be in time.
     */
    private void readConfigNow() {
        if (mReadingConfig) {
            return;
        }
        mReadingConfig = true;
        mSource.readConfig()
                .whenComplete(
                        (read, failure) -> {
                            mReadingConfig = false;
                            if (failure == null) {
                                read.value().ifPresent(c -> offer(c, "store, told by a peer"));
                            } else {
                                onNoAnswer(failure);
                            }
                        });
    }

    private void onListNotice(PeerNotice n) {
        if (n.readAt() <= mListReadAt || !mListed || mTargets.keepsMissing()) {
            return; // what is kept for a while is decided by reading anew
        }
        if (n.fingerprint() == mListFingerprint) {
            mListReadAt = n.readAt();
            mListAt = Math.min(mClock.nowMillis(), n.readAt() + mSourceOffset);
        } else {
            readList();
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
