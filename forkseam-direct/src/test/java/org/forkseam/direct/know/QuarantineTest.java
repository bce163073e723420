package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.forkseam.core.crash.CrashEvent;
import org.forkseam.core.crash.Fingerprint;
import org.forkseam.core.crash.QuarantineTerm;
import org.forkseam.core.crash.RequestFingerprints;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.know.Quarantine.Verdict;
import org.forkseam.direct.spi.SharedRow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tests quarantine decisions, releases, terms and trials of requests on several routers with an
 * in-memory store.
 */
class QuarantineTest {
    private static final long AWAIT_MILLIS = 5_000;
    private static final long CONTENT = 0x1234;
    private static final String KEY = "quarantine/" + Hashes.toHex(CONTENT);
    private static final long TEN_MINUTES = 600_000;
    private static final int MAX_ROWS = 256;

    /** Longer than the time within which crashes count once for a part. */
    private static final long CRASH_INTERVAL_MILLIS = 40;

    /** The clocks of the store and the routers are unrelated. */
    private static final long STORE_CLOCK_OFFSET_MILLIS = 7_000_000;

    /** One router with a manually advanced clock. */
    private final class TestRouter {
        private final AtomicLong mClock = new AtomicLong();
        private final RowFollower mFollower;
        private final Quarantine mQuarantine;

        TestRouter() {
            String host = "host-" + ++mHosts;
            SplittableRandom random = new SplittableRandom(1);
            InetSocketAddress own = new InetSocketAddress("127.0.0.1", 5_000);
            PeerGroup peers =
                    new PeerGroup(
                            mLoop, new FleetState.RouterIdentity(host, own), random, (m, s) -> {});
            FollowerBase.Context context =
                    new FollowerBase.Context(
                            mLoop,
                            mClock::get,
                            random,
                            peers,
                            new StoreHealth(() -> {}),
                            new StoreEra(),
                            () -> true);
            List<Quarantine> listener = new ArrayList<>();
            mFollower = new RowFollower(context, mRows, r -> listener.get(0).apply(r));
            mQuarantine = new Quarantine(context, mRows, mFollower);
            listener.add(mQuarantine);
        }

        /** Applies all rows as messages of another router, at a time of the store's clock. */
        void receiveRows(long storeMillis) {
            List<SharedRow> rows = List.copyOf(mRows.all().values());
            mFollower.onMessage(
                    new PeerMessage.Rows(
                            storeMillis,
                            StorePosition.of(0, 0),
                            StorePosition.of(0, 1),
                            true,
                            List.of()),
                    OTHER);
            mFollower.onMessage(
                    new PeerMessage.Rows(0, StorePosition.NONE, StorePosition.NONE, true, rows),
                    OTHER);
        }

        void crash(long content, int crash) throws Exception {
            onLoop(() -> mQuarantine.onCrash(RequestFingerprints.of(content), crash));
        }

        void quarantine(long content) throws Exception {
            for (int i = 1; i <= 3; i++) {
                crash(content, i);
            }
            drainLoop();
        }

        Verdict verdict(long content) throws Exception {
            return call(() -> mQuarantine.verdict(content));
        }

        boolean requestTrial(long content) throws Exception {
            return call(() -> mQuarantine.requestTrial(content).join());
        }

        QuarantineTerm row() {
            return QuarantineTerm.parse(mRows.all().get(KEY).value()).get();
        }
    }

    private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.1", 6_000);

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mGroup.next();
    private final FakeSharedRows mRows = new FakeSharedRows();
    private TestRouter mRouter;
    private int mHosts;

    @BeforeEach
    void start() throws Exception {
        mRouter = router();
        mRows.setListener(mRouter.mFollower::onRead); // this router polls the rows
    }

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private TestRouter router() throws Exception {
        TestRouter r = new TestRouter();
        onLoop(() -> r.receiveRows(STORE_CLOCK_OFFSET_MILLIS + r.mClock.get()));
        return r;
    }

    private void onLoop(Runnable task) throws Exception {
        mLoop.submit(task).get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private <T> T call(Callable<T> task) throws Exception {
        return mLoop.submit(task).get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs the tasks that are due on the event loop, and those that they schedule. */
    private void drainLoop() throws Exception {
        for (int i = 0; i < 3; i++) {
            mLoop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS)
                    .get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void await(Callable<Boolean> condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
        while (!call(condition)) {
            assertThat(System.nanoTime()).isLessThan(until);
            drainLoop();
        }
    }

    private long refused() {
        return mRows.all().keySet().stream().filter(k -> k.startsWith("quarantine/")).count();
    }

    // ---------------------------------------------------------------- quarantine

    @Test
    void threeCrashesRefuseARequestOnAllRouters() throws Exception {
        TestRouter other = router();
        mRouter.crash(CONTENT, 1);
        mRouter.crash(CONTENT, 2);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        mRouter.crash(CONTENT, 3);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        drainLoop();
        assertThat(refused()).isEqualTo(1);
        onLoop(() -> other.receiveRows(STORE_CLOCK_OFFSET_MILLIS));
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        assertThat(call(() -> other.mQuarantine.retryAfterMillis(CONTENT))).isEqualTo(TEN_MINUTES);
    }

    /** Crashes observed by several routers are counted together. */
    @Test
    void crashesSeenByOtherRoutersCount() throws Exception {
        mRouter.crash(CONTENT, 1);
        onLoop(
                () ->
                        mRouter.mQuarantine.apply(
                                List.of(new CrashEvent(CONTENT, 2), new CrashEvent(CONTENT, 3))));
        drainLoop();
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        assertThat(refused()).isEqualTo(1);
    }

    /** Without suspect rows, each partitioned router would count crashes from zero. */
    @Test
    void aPartitionedRouterLearnsOfTwoCrashesFromTheStore() throws Exception {
        TestRouter cutOff = router();
        mRouter.crash(CONTENT, 1);
        assertThat(mRows.all()).isEmpty();
        mRouter.crash(CONTENT, 2);
        drainLoop();
        assertThat(mRows.all().keySet()).containsExactly("suspect/" + Hashes.toHex(CONTENT));
        onLoop(() -> cutOff.receiveRows(STORE_CLOCK_OFFSET_MILLIS));
        assertThat(cutOff.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        cutOff.crash(CONTENT, 3);
        assertThat(cutOff.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    /** A burst of suspects must not fill the store. */
    @Test
    void suspectRowsAreBounded() throws Exception {
        for (int i = 1; i <= 1_000; i++) {
            mRouter.crash(i, 1);
            mRouter.crash(i, 2);
        }
        assertThat(mRows.all().size()).isAtMost(MAX_ROWS);
    }

    /** Concurrent quarantines must leave one row and not repeat their writes. */
    @Test
    void routersThatQuarantineAtOnceAgree() throws Exception {
        TestRouter other = router();
        mRouter.quarantine(CONTENT);
        other.quarantine(CONTENT);
        drainLoop();
        assertThat(refused()).isEqualTo(1);
        assertThat(mRows.writes()).isAtMost(2);
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    @Test
    void duringAStoreOutageARequestIsRefusedAndItsRowWrittenLater() throws Exception {
        mRows.setUnavailable(true);
        mRouter.quarantine(CONTENT);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        mRows.setUnavailable(false);
        await(() -> refused() == 1);
    }

    @Test
    void anAnswerAfterTwoCrashesClearsTheRequest() throws Exception {
        mRouter.crash(CONTENT, 1);
        mRouter.crash(CONTENT, 2);
        onLoop(() -> mRouter.mQuarantine.onAnswered(CONTENT));
        assertThat(call(() -> mRouter.mQuarantine.digest()))
                .containsExactly(CrashEvent.answered(CONTENT));
        mRouter.crash(CONTENT, 3);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
    }

    // ---------------------------------------------------------------- releases

    /** A target may answer a request that it started before the quarantine. */
    @Test
    void anAnswerAfterTheQuarantineReleasesTheRequest() throws Exception {
        TestRouter other = router();
        mRouter.quarantine(CONTENT);
        onLoop(() -> other.receiveRows(STORE_CLOCK_OFFSET_MILLIS));
        onLoop(() -> mRouter.mQuarantine.onAnswered(CONTENT));
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        drainLoop();
        assertThat(mRouter.row().isReleased()).isTrue();
        onLoop(() -> other.receiveRows(STORE_CLOCK_OFFSET_MILLIS));
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
    }

    /** Releases must reach other routers by messages during a store outage. */
    @Test
    void routersExchangeReleasesWithoutTheStore() throws Exception {
        TestRouter other = router();
        mRows.setUnavailable(true);
        mRouter.quarantine(CONTENT);
        other.quarantine(CONTENT);
        onLoop(() -> mRouter.mQuarantine.onAnswered(CONTENT));
        List<CrashEvent> digest = call(() -> mRouter.mQuarantine.digest());
        onLoop(() -> other.mQuarantine.apply(digest));
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        advanceClock(other, TEN_MINUTES / 2);
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
    }

    /** An answer takes precedence over a row that arrives after it. */
    @Test
    void aRowReceivedAfterTheAnswerIsReleased() throws Exception {
        TestRouter other = router();
        onLoop(() -> other.mQuarantine.onAnswered(CONTENT));
        mRouter.quarantine(CONTENT);
        onLoop(() -> other.receiveRows(STORE_CLOCK_OFFSET_MILLIS));
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        await(() -> mRouter.row().isReleased());
    }

    /**
     * An earlier release must not prevent a later quarantine, for instance after an upgrade of the
     * targets.
     */
    @Test
    void aReleasedRequestCanBeQuarantinedAgain() throws Exception {
        mRouter.quarantine(CONTENT);
        onLoop(() -> mRouter.mQuarantine.onAnswered(CONTENT));
        drainLoop();
        advanceClock(mRouter, TEN_MINUTES);
        for (int i = 11; i <= 13; i++) {
            mRouter.crash(CONTENT, i);
        }
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    /** Many different quarantines must not fill the store or the cache; the latest are kept. */
    @Test
    void quarantineRowsAreBounded() throws Exception {
        for (int i = 1; i <= 1_000; i++) {
            mRouter.quarantine(i);
        }
        assertThat(refused()).isAtMost(MAX_ROWS);
        assertThat(mRouter.verdict(1_000)).isEqualTo(Verdict.REFUSE);
        assertThat(call(() -> mRouter.mQuarantine.dump().size())).isAtMost(2 * MAX_ROWS);
    }

    // ---------------------------------------------------------------- terms and trials

    private void advanceClock(TestRouter r, long millis) {
        r.mClock.addAndGet(millis);
    }

    @Test
    void afterItsTermOneRouterMayTryTheRequestOnce() throws Exception {
        TestRouter other = router();
        mRouter.quarantine(CONTENT);
        onLoop(() -> other.receiveRows(STORE_CLOCK_OFFSET_MILLIS));
        advanceClock(mRouter, TEN_MINUTES);
        advanceClock(other, TEN_MINUTES);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.TRY);
        assertThat(mRouter.requestTrial(CONTENT)).isTrue();
        assertThat(other.requestTrial(CONTENT)).isFalse();
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    @Test
    void aTrialThatCrashesATargetDoublesTheTerm() throws Exception {
        mRouter.quarantine(CONTENT);
        advanceClock(mRouter, TEN_MINUTES);
        mRouter.requestTrial(CONTENT);
        onLoop(() -> mRouter.mQuarantine.onTrialEnded(CONTENT, false));
        assertThat(mRouter.row().termMillis()).isEqualTo(2 * TEN_MINUTES);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    @Test
    void aTrialThatIsAnsweredReleasesTheRequest() throws Exception {
        mRouter.quarantine(CONTENT);
        advanceClock(mRouter, TEN_MINUTES);
        mRouter.requestTrial(CONTENT);
        onLoop(() -> mRouter.mQuarantine.onTrialEnded(CONTENT, true));
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        mRouter.quarantine(CONTENT);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    /** Trials require a compare-and-set in the store. */
    @Test
    void duringAStoreOutageNoTrialIsGranted() throws Exception {
        mRouter.quarantine(CONTENT);
        advanceClock(mRouter, TEN_MINUTES);
        mRows.setUnavailable(true);
        assertThat(mRouter.requestTrial(CONTENT)).isFalse();
    }

    /** A host's steady clock may not advance during suspension. */
    @Test
    void aSuspendedRouterNeverShortensATerm() throws Exception {
        TestRouter suspended = router();
        mRouter.quarantine(CONTENT);
        onLoop(() -> suspended.receiveRows(STORE_CLOCK_OFFSET_MILLIS));
        advanceClock(mRouter, TEN_MINUTES);
        assertThat(suspended.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        onLoop(() -> suspended.receiveRows(STORE_CLOCK_OFFSET_MILLIS + TEN_MINUTES));
        assertThat(suspended.verdict(CONTENT)).isEqualTo(Verdict.TRY);
        // A delayed message must not move the clock back.
        onLoop(() -> suspended.receiveRows(STORE_CLOCK_OFFSET_MILLIS));
        assertThat(suspended.verdict(CONTENT)).isEqualTo(Verdict.TRY);
    }

    // ---------------------------------------------------------------- rows

    /** A router reads the quarantine rows at its start. */
    @Test
    void aStartedRouterRefusesQuarantinedRequests() throws Exception {
        mRouter.quarantine(CONTENT);
        TestRouter started = new TestRouter();
        onLoop(started.mFollower::start);
        assertThat(started.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    /** A router that starts during a store outage gets the rows in a snapshot. */
    @Test
    void rowsFromASnapshotRefuseWithoutTheStoreClock() throws Exception {
        mRouter.quarantine(CONTENT);
        TestRouter started = new TestRouter();
        onLoop(() -> started.mFollower.onSnapshot(List.copyOf(mRows.all().values())));
        assertThat(started.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    @Test
    void anOperatorWhoRemovesTheRowReleasesTheRequest() throws Exception {
        mRouter.quarantine(CONTENT);
        onLoop(() -> mRouter.mFollower.onRead(SharedRow.absent(KEY, 0)));
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
    }

    @Test
    void malformedRowsAreIgnored() throws Exception {
        Map<String, String> rows = new TreeMap<>();
        rows.put("quarantine/", "1,2,");
        rows.put("quarantine/xyz", "1,2,");
        rows.put("quarantine/00112233445566778899", "1,2,");
        rows.put(KEY, "soon");
        for (Map.Entry<String, String> e : rows.entrySet()) {
            onLoop(
                    () ->
                            mRouter.mFollower.onRead(
                                    new SharedRow(
                                            e.getKey(), e.getValue(), StorePosition.of(0, 99))));
        }
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        assertThat(call(() -> mRouter.mQuarantine.dump())).isEmpty();
    }

    // ---------------------------------------------------------------- prompt parts

    /**
     * Guards against refusing a harmless part for its whole term: two parts had the same five
     * crashes, but the row of the other one stood there before the last two were reported.
     */
    @Test
    void partWithTheSameCrashesIsTriedIfTheOtherRowCameFirst() throws Exception {
        long harmless = Fingerprint.ofPart("harmless");
        long bad = Fingerprint.ofPart("bad");
        for (int crash = 1; crash <= 3; crash++) {
            reportCrash(crash, harmless, bad);
        }
        QuarantineTerm term =
                QuarantineTerm.initial(bad, List.of(harmless), STORE_CLOCK_OFFSET_MILLIS);
        onLoop(() -> mRows.put("quarantine/" + Hashes.toHex(bad), term.format()));
        reportCrash(4, harmless, bad);
        reportCrash(5, harmless, bad);
        await(() -> mRouter.mQuarantine.refused() == 2);
        Set<Long> request = Set.of(harmless, Fingerprint.ofPart("other"));
        assertThat(call(() -> mRouter.mQuarantine.verdict(harmless, request)))
                .isEqualTo(Verdict.TRY);
    }

    /** Reports a crash with two parts in flight, as another router does. */
    private void reportCrash(int crash, long a, long b) throws Exception {
        long at = STORE_CLOCK_OFFSET_MILLIS + CRASH_INTERVAL_MILLIS * crash;
        onLoop(
                () ->
                        mRouter.mQuarantine.apply(
                                List.of(CrashEvent.ofPart(a, at), CrashEvent.ofPart(b, at))));
    }
}
