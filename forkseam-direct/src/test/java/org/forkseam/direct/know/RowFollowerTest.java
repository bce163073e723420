package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.Versioned;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Tests that a router applies broadcast rows and reads the store after gaps. */
class RowFollowerTest {
    private static final long AWAIT_MILLIS = 5_000;

    /** Longer than the delay between the first read and the first long poll. */
    private static final long SETTLE_MILLIS = 600;

    private static final InetSocketAddress OWN = new InetSocketAddress("127.0.0.1", 5_000);
    private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.1", 6_000);
    private static final InetSocketAddress PRECEDING = new InetSocketAddress("127.0.0.1", 4_000);

    /** Longer than the time for which a router writes first. */
    private static final long ROLE_MILLIS = 2_600;

    /** Store whose long polls never complete and whose history is unavailable. */
    private static final class FakeSharedRows implements SharedRows {
        private final List<SharedRow> mAll = new CopyOnWriteArrayList<>();
        private volatile int mLongPolls;
        private volatile int mReads;
        private volatile int mPuts;
        private volatile int mFailingPuts;
        private volatile StorePosition mPosition = StorePosition.of(0, 10);
        private volatile boolean mPollsFail;

        @Override
        public CompletableFuture<Versioned<List<SharedRow>>> readAll() {
            mReads++;
            return CompletableFuture.completedFuture(
                    new Versioned<>(mPosition, 1, List.copyOf(mAll)));
        }

        @Override
        public CompletableFuture<Versioned<List<SharedRow>>> awaitChanges(
                StorePosition since, long waitMillis) {
            if (waitMillis == 0 || mPollsFail) {
                return CompletableFuture.failedFuture(SourceException.historyCompacted());
            }
            mLongPolls++;
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<SharedRow> compareAndSet(
                String key, String value, StorePosition expected) {
            return CompletableFuture.failedFuture(SourceException.of("not used"));
        }

        @Override
        public CompletableFuture<Void> put(String key, String value) {
            if (++mPuts <= mFailingPuts) {
                return CompletableFuture.failedFuture(SourceException.of("unavailable"));
            }
            mAll.add(row(key, value, 11));
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> remove(String key) {
            return CompletableFuture.completedFuture(null);
        }
    }

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mGroup.next();
    private final FakeSharedRows mRows = new FakeSharedRows();
    private final List<SharedRow> mApplied = new CopyOnWriteArrayList<>();
    private final RowFollower mFollower = follower();

    private RowFollower follower() {
        SplittableRandom random = new SplittableRandom(1);
        PeerGroup peers =
                new PeerGroup(
                        mLoop,
                        new FleetState.RouterIdentity("own", OWN),
                        random,
                        (m, sender) -> {});
        FollowerBase.Context context =
                new FollowerBase.Context(
                        mLoop,
                        Clock.monotonic(),
                        random,
                        peers,
                        new StoreHealth(() -> {}),
                        new StoreEra(),
                        () -> true);
        return new RowFollower(context, mRows, mApplied::add);
    }

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void onLoop(Runnable task) throws Exception {
        mLoop.submit(task).get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void start() throws Exception {
        onLoop(mFollower::start);
        Thread.sleep(SETTLE_MILLIS);
    }

    private static SharedRow row(String key, String value, long revision) {
        return new SharedRow(key, value, StorePosition.of(0, revision));
    }

    private boolean isReader() throws Exception {
        return mLoop.submit(mFollower::isReader).get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns a message of a router that has read the rows after a restore, for all. */
    private static PeerMessage.Rows restored() {
        return new PeerMessage.Rows(
                1, StorePosition.of(0, 10), StorePosition.of(1, 4), true, List.of());
    }

    private static PeerMessage.Rows message(long since, long until, SharedRow... rows) {
        return new PeerMessage.Rows(
                1, StorePosition.of(0, since), StorePosition.of(0, until), true, List.of(rows));
    }

    @Test
    void broadcastRowsAreAppliedWithoutAnotherRead() throws Exception {
        start();
        SharedRow row = row("seats/p", "a,b", 11);
        onLoop(() -> mFollower.onMessage(message(9, 12, row), OTHER));
        assertThat(mApplied).containsExactly(row);
        assertThat(mRows.mReads).isEqualTo(1);
    }

    @Test
    void duplicateAndOutdatedRowsAreIgnored() throws Exception {
        start();
        SharedRow older = row("seats/p", "a,b", 11);
        SharedRow newer = row("seats/p", "a,c", 13);
        onLoop(() -> mFollower.onMessage(message(9, 14, newer), OTHER));
        onLoop(() -> mFollower.onMessage(message(9, 12, older), OTHER));
        onLoop(() -> mFollower.onMessage(message(9, 14, newer), OTHER));
        assertThat(mApplied).containsExactly(newer);
    }

    /** Guards against a gap that starts a second polling loop. */
    @Test
    void gapsAreReadAndLeaveOneLongPoll() throws Exception {
        start();
        List<SharedRow> expected = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            SharedRow row = row("seats/p" + i, "a", 20 + i);
            expected.add(row);
            mRows.mAll.add(row);
            long since = 30 + i;
            onLoop(() -> mFollower.onMessage(message(since, since + 1), OTHER));
        }
        Thread.sleep(SETTLE_MILLIS);
        assertThat(mApplied).containsExactlyElementsIn(expected);
        assertThat(mRows.mLongPolls).isEqualTo(1);
    }

    /** Guards against dividing limits by too few routers before the router rows are known. */
    @Test
    void rowsHeardBeforeTheFirstReadDoNotTellTheRouters() throws Exception {
        SharedRow row = row("seats/p", "a,b", 11);
        onLoop(() -> mFollower.onMessage(PeerMessage.Rows.ofWrite(row), OTHER));
        assertThat(mApplied).containsExactly(row);
        assertThat(mFollower.knowsRouters()).isFalse();
        onLoop(() -> mFollower.onSnapshot(List.of(row("router/other", "127.0.0.1:6000", 3))));
        assertThat(mFollower.knowsRouters()).isTrue();
    }

    /** Guards against a router that the others never count, since its registration failed. */
    @Test
    void failedRegistrationIsRepeated() throws Exception {
        mRows.mFailingPuts = 2;
        start();
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
        while (mRows.mPuts < 3 && System.nanoTime() < deadline) {
            Thread.sleep(20);
        }
        assertThat(mRows.mPuts).isEqualTo(3);
    }

    /**
     * Guards against a write by each router after an outage, in which all have lost the reader: the
     * reader of the restored rows need not be the one with the lowest address.
     */
    @Test
    void routerToldOfARestoreDoesNotWriteFirst() throws Exception {
        start();
        assertThat(isReader()).isTrue();
        onLoop(() -> mFollower.onMessage(restored(), OTHER));
        assertThat(isReader()).isFalse();
        Thread.sleep(ROLE_MILLIS);
        assertThat(isReader()).isTrue();
    }

    /** Guards against a restore after which no router writes first. */
    @Test
    void routerThatReadARestoreWritesFirst() throws Exception {
        mRows.mPollsFail = true;
        start();
        mRows.mPosition = StorePosition.of(1, 4);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
        while (mLoop.submit(() -> mFollower.position("x").era()).get() < 1) {
            assertThat(System.nanoTime()).isLessThan(deadline);
            Thread.sleep(5);
        }
        assertThat(isReader()).isTrue();
        PeerMessage.Rows read =
                new PeerMessage.Rows(
                        1, StorePosition.of(1, 4), StorePosition.of(1, 5), true, List.of());
        onLoop(() -> mFollower.onMessage(read, PRECEDING));
        assertThat(isReader()).isTrue();
        onLoop(() -> mFollower.onMessage(restored(), PRECEDING));
        assertThat(isReader()).isFalse();
    }
}
