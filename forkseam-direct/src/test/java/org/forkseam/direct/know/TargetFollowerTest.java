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
 * Tests how soon a router that was cut off knows which targets have left.
 *
 * <p>Seen: two routers were cut off for eight seconds, and a target's row went half a second after
 * they were back. Both kept the target for the time in which rows may lapse, which began when they
 * first tried the store again, and then until their next regular read: 2.3 and 2.5 s after the row
 * had gone, where two are allowed. The routers' lines showed {@code store_back} 0.1 and 0.8 s after
 * the cut had ended, and {@code target_gone} up to a second after the kept time.
 */
class TargetFollowerTest {
    private static final long AWAIT_MILLIS = 15_000;

    /** Rows that have lapsed are back within so long; see the directory of targets. */
    private static final long KEPT_MILLIS = 2_100;

    private static final long SLACK_MILLIS = 400;

    /** So long that the regular reads come just before and long after the kept time's end. */
    private static final long PAUSE_MILLIS = 1_700;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mGroup.next();
    private final Clock mClock = Clock.monotonic();
    private final Source mSource = new Source();
    private TargetFollower mFollower;
    private volatile long mBackAt;

    /** Is a store that can be away, or say nothing. */
    private static final class Source implements FleetSource {
        private volatile List<TargetEntry> mList = List.of(entry("a"), entry("b"));
        private volatile boolean mAway;
        private volatile boolean mSilent;
        private volatile int mReads;
        private volatile long mRevision = 1;

        @Override
        public CompletableFuture<Versioned<List<TargetEntry>>> readTargets() {
            mReads++;
            if (mSilent) {
                return new CompletableFuture<>();
            }
            return mAway
                    ? CompletableFuture.failedFuture(SourceException.of("away"))
                    : CompletableFuture.completedFuture(
                            new Versioned<>(StorePosition.of(0, mRevision), 0, mList));
        }

        @Override
        public CompletableFuture<Versioned<OperatorState>> readOperators() {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Versioned<OperatorState>> awaitOperators(
                StorePosition since, long wait) {
            return new CompletableFuture<>();
        }

        @Override
        public Map<String, Long> unusableEntries() {
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
        PeerLink link = new PeerLink(mLoop, new Knowledge.Self("h", own), random, (m, s) -> {});
        SourceWatch watch = new SourceWatch(this::onBack);
        mFollower =
                new TargetFollower(
                        new FollowerBase.Surroundings(
                                mLoop, mClock, random, link, watch, new StoreEra(), () -> true),
                        mSource,
                        PAUSE_MILLIS,
                        id -> {});
        mLoop.execute(mFollower::start);
    }

    private void onBack() {
        long now = mClock.nowMillis();
        mFollower.targets().onSourceBack(now, now - mFollower.confirmedAt());
        mBackAt = now;
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
    void whatIsKeptIsLookedAtAgainWhenItsTimeIsOver() throws Exception {
        await(() -> knows("b"));
        mSource.mAway = true;
        long lost = mClock.nowMillis();
        await(() -> mClock.nowMillis() - lost > 2_300 + PAUSE_MILLIS);
        mSource.mList = List.of(entry("a"));
        mSource.mRevision = 2;
        mSource.mAway = false;
        await(() -> !knows("b"));
        long kept = mClock.nowMillis() - mBackAt;
        assertThat(kept).isAtLeast(KEPT_MILLIS);
        assertThat(kept).isAtMost(KEPT_MILLIS + SLACK_MILLIS);
    }

    /** Other routers are heard again after a silence: the cut is over, also if a read hangs. */
    @Test
    void aRouterThatIsBackReadsAtOnce() throws Exception {
        await(() -> knows("b"));
        mSource.mSilent = true;
        int before = mSource.mReads;
        await(() -> mSource.mReads > before); // and no answer comes
        mSource.mSilent = false;
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
