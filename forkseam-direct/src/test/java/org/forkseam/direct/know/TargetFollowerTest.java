package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.spi.FleetSource;
import org.forkseam.direct.spi.OperatorState;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.Versioned;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Guards against keeping a removed target past the grace period after an outage, and against a
 * delayed read after a partition.
 */
class TargetFollowerTest {
    private static final long AWAIT_MILLIS = 15_000;

    /** Grace period of the target directory for missing targets. */
    private static final long GRACE_MILLIS = 2_100;

    private static final long SLACK_MILLIS = 400;

    /** At this interval no regular read falls shortly after the end of the grace period. */
    private static final long PAUSE_MILLIS = 1_700;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mGroup.next();
    private final Clock mClock = Clock.monotonic();
    private final FakeFleetSource mSource = new FakeFleetSource();
    private TargetFollower mFollower;
    private volatile long mRecoveredAt;

    /** Store that can fail or not respond. */
    private static final class FakeFleetSource implements FleetSource {
        private volatile List<TargetEntry> mList = List.of(entry("a"), entry("b"));
        private volatile boolean mUnavailable;
        private volatile boolean mUnresponsive;
        private volatile int mReads;
        private volatile long mRevision = 1;

        @Override
        public CompletableFuture<Versioned<List<TargetEntry>>> readTargets() {
            mReads++;
            if (mUnresponsive) {
                return new CompletableFuture<>();
            }
            return mUnavailable
                    ? CompletableFuture.failedFuture(SourceException.of("away"))
                    : CompletableFuture.completedFuture(
                            new Versioned<>(StorePosition.of(0, mRevision), 0, mList));
        }

        @Override
        public CompletableFuture<Versioned<OperatorState>> readOperatorState() {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Versioned<OperatorState>> awaitOperatorState(
                StorePosition since, long wait) {
            return new CompletableFuture<>();
        }

        @Override
        public Map<String, Long> invalidEntries() {
            return Map.of();
        }
    }

    private static TargetEntry entry(String id) {
        return new TargetEntry(id, "p", "10.0.0.1:1", "z", 8, false, 0);
    }

    @BeforeEach
    void start() {
        SplittableRandom random = new SplittableRandom(1);
        InetSocketAddress own = new InetSocketAddress("127.0.0.1", 5_000);
        PeerGroup peers =
                new PeerGroup(mLoop, new FleetState.RouterIdentity("h", own), random, (m, s) -> {});
        StoreHealth storeHealth = new StoreHealth(this::onRecovered);
        mFollower =
                new TargetFollower(
                        new FollowerBase.Context(
                                mLoop,
                                mClock,
                                random,
                                peers,
                                storeHealth,
                                new StoreEra(),
                                () -> true),
                        mSource,
                        PAUSE_MILLIS,
                        id -> {});
        mLoop.execute(mFollower::start);
    }

    private void onRecovered() {
        long now = mClock.nowMillis();
        mFollower.targets().onSourceRecovered(now, now - mFollower.confirmedAt());
        mRecoveredAt = now;
    }

    @AfterEach
    void stop() {
        mLoop.execute(mFollower::stop);
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void await(BooleanSupplier condition) throws Exception {
        long until = mClock.nowMillis() + AWAIT_MILLIS;
        while (!mLoop.submit(condition::getAsBoolean).get(AWAIT_MILLIS, TimeUnit.MILLISECONDS)) {
            assertThat(mClock.nowMillis()).isLessThan(until);
            Thread.sleep(5);
        }
    }

    private boolean knows(String id) {
        return mFollower.targets().find(id).isPresent();
    }

    @Test
    void theListIsReadAgainWhenTheGracePeriodEnds() throws Exception {
        await(() -> knows("b"));
        mSource.mUnavailable = true;
        long lost = mClock.nowMillis();
        await(() -> mClock.nowMillis() - lost > 2_300 + PAUSE_MILLIS);
        mSource.mList = List.of(entry("a"));
        mSource.mRevision = 2;
        mSource.mUnavailable = false;
        await(() -> !knows("b"));
        long kept = mClock.nowMillis() - mRecoveredAt;
        assertThat(kept).isAtLeast(GRACE_MILLIS);
        assertThat(kept).isAtMost(GRACE_MILLIS + SLACK_MILLIS);
    }

    /** Must not wait for a pending read that hangs. */
    @Test
    void aReconnectedRouterReadsImmediately() throws Exception {
        await(() -> knows("b"));
        mSource.mUnresponsive = true;
        int before = mSource.mReads;
        await(() -> mSource.mReads > before); // and does not complete
        mSource.mUnresponsive = false;
        mSource.mList = List.of(entry("a"), entry("b"), entry("c"));
        mSource.mRevision = 2;
        long triedAt = mClock.nowMillis();
        await(() -> mClock.nowMillis() - triedAt > 600);
        assertThat(knows("c")).isFalse();
        mLoop.execute(mFollower::retry);
        await(() -> knows("c"));
        assertThat(mClock.nowMillis() - triedAt).isLessThan(600 + SLACK_MILLIS);
    }
}
