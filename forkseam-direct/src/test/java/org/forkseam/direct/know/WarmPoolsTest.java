package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.forkseam.core.place.PlacementPolicy;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.spi.SharedRow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Tests that a warm pool is recorded once, whichever router does so. */
class WarmPoolsTest {
    private static final String POOL = "p";
    private static final long WARM_UP_MILLIS = 8_000;
    private static final long AWAIT_MILLIS = 5_000;

    /** Longer than a scheduled write takes, with the delay of a router that is not the reader. */
    private static final long WRITE_MILLIS = 1_500;

    /** Longer than a write of the reader takes, shorter than the delay of the others. */
    private static final long FIRST_WRITE_MILLIS = 150;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mGroup.next();
    private final FakeSharedRows mRows = new FakeSharedRows();
    private final List<Router> mRouters = new ArrayList<>();
    private volatile long mSkippedMillis;

    /** A router with its own rows, in the same process. */
    private final class Router {
        private final PlacementPolicy mPolicy = PlacementPolicy.create();
        private final RowFollower mFollower;
        private final WarmPools mPools;
        private final StoreEra mEra = new StoreEra();

        Router(int index) throws Exception {
            SplittableRandom random = new SplittableRandom(index);
            InetSocketAddress own = new InetSocketAddress("127.0.0.1", 5_000 + index);
            PeerGroup peers =
                    new PeerGroup(
                            mLoop,
                            new FleetState.RouterIdentity("h" + index, own),
                            random,
                            (m, s) -> {});
            FollowerBase.Context context =
                    new FollowerBase.Context(
                            mLoop,
                            WarmPoolsTest.this::now,
                            random,
                            peers,
                            new StoreHealth(() -> {}),
                            mEra,
                            () -> true);
            mFollower = new RowFollower(context, mRows, this::onRow);
            mPools = new WarmPools(context, mRows, mFollower, mPolicy);
            onLoop(
                    () -> {
                        mFollower.start();
                        return null;
                    });
        }

        private void onRow(SharedRow row) {
            mPools.apply(row);
        }

        void request() throws Exception {
            onLoop(
                    () -> {
                        mPolicy.onRequest(POOL, now());
                        return null;
                    });
        }

        void plan() throws Exception {
            onLoop(
                    () -> {
                        mPools.plan();
                        return null;
                    });
        }

        /** Receives the rows that another router has read for all after a restore. */
        void restored(InetSocketAddress reader) throws Exception {
            PeerMessage.Rows read =
                    new PeerMessage.Rows(
                            now(), StorePosition.of(0, 1), StorePosition.of(1, 1), true, List.of());
            onLoop(
                    () -> {
                        mEra.accepts(read.until(), "test");
                        mFollower.onMessage(read, reader);
                        return null;
                    });
            assertThat(onLoop(mFollower::isCurrent)).isTrue();
        }

        boolean isCold() throws Exception {
            return onLoop(() -> mPolicy.isCold(POOL, now()));
        }
    }

    private long now() {
        return Clock.monotonic().nowMillis() + mSkippedMillis;
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return mLoop.submit(task).get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private Router router() throws Exception {
        Router r = new Router(mRouters.size());
        mRouters.add(r);
        return r;
    }

    @AfterEach
    void stop() {
        mLoop.execute(() -> mRouters.forEach(r -> r.mFollower.stop()));
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void awaitRow() throws InterruptedException {
        long until = now() + AWAIT_MILLIS;
        while (!mRows.all().containsKey("warm/" + POOL)) {
            assertThat(now()).isLessThan(until);
            Thread.sleep(10);
        }
    }

    @Test
    void poolIsRecordedAfterItsWarmUp() throws Exception {
        Router r = router();
        r.request();
        r.plan();
        Thread.sleep(WRITE_MILLIS);
        assertThat(mRows.writes()).isEqualTo(0);
        mSkippedMillis += WARM_UP_MILLIS;
        r.plan();
        awaitRow();
        r.plan();
        Thread.sleep(WRITE_MILLIS);
        assertThat(mRows.writes()).isEqualTo(1);
    }

    /** Of two routers that write, only one takes effect, and the other must not repeat it. */
    @Test
    void simultaneousWritesLeaveOneRow() throws Exception {
        Router a = router();
        Router b = router();
        a.request();
        b.request();
        mSkippedMillis += WARM_UP_MILLIS;
        a.plan();
        b.plan();
        awaitRow();
        Thread.sleep(WRITE_MILLIS);
        StorePosition written = mRows.all().get("warm/" + POOL).position();
        a.plan();
        b.plan();
        Thread.sleep(WRITE_MILLIS);
        assertThat(mRows.all().get("warm/" + POOL).position()).isEqualTo(written);
        assertThat(mRows.writes()).isAtMost(2);
    }

    /**
     * Guards against a write by each router after an outage in which all have lost the reader, when
     * another than the one with the lowest address reads the restored rows for all.
     */
    @Test
    void onlyTheReaderOfARestoreWritesAtOnce() throws Exception {
        Router lowest = router();
        Router reader = router();
        lowest.request();
        reader.request();
        mSkippedMillis += WARM_UP_MILLIS;
        lowest.restored(new InetSocketAddress("127.0.0.1", 5_001));
        lowest.plan();
        reader.plan();
        awaitRow();
        Thread.sleep(FIRST_WRITE_MILLIS);
        assertThat(mRows.writes()).isEqualTo(1);
    }

    @Test
    void routerThatStartsLaterReadsTheRow() throws Exception {
        mRows.put("warm/" + POOL, "1");
        Router r = router();
        Thread.sleep(100);
        r.request();
        assertThat(r.isCold()).isFalse();
    }

    /** Without the store, queries end with the time since the first request. */
    @Test
    void unavailableStoreOnlyPreventsTheRecord() throws Exception {
        Router r = router();
        r.request();
        mRows.setUnavailable(true);
        assertThat(r.isCold()).isTrue();
        mSkippedMillis += WARM_UP_MILLIS;
        r.plan();
        Thread.sleep(WRITE_MILLIS);
        assertThat(r.isCold()).isFalse();
        assertThat(mRows.all().containsKey("warm/" + POOL)).isFalse();
        mRows.setUnavailable(false);
        r.plan();
        awaitRow();
    }
}
