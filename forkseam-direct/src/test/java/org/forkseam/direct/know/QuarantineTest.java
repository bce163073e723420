package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.forkseam.core.crash.CrashFact;
import org.forkseam.core.crash.QuarantineTerm;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.know.Quarantine.Verdict;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.Versioned;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Tests which requests routers refuse, over their whole lives, with the rows of a small store. */
class QuarantineTest {
    private static final long AWAIT_MILLIS = 5_000;
    private static final long CONTENT = 0x1234;
    private static final String KEY = "quarantine/" + Hashes.toHex(CONTENT);
    private static final long TEN_MINUTES = 600_000;
    private static final int MAX_ROWS = 256;

    /** The store's clock and a router's have nothing in common. */
    private static final long STORE_AHEAD = 7_000_000;

    /** Is a store that several routers share. */
    private static final class Rows implements SharedRows {
        private final Map<String, SharedRow> mAll = new ConcurrentSkipListMap<>();
        private final AtomicLong mRevision = new AtomicLong(1);
        private volatile boolean mAway;
        private volatile int mWrites;
        private volatile Consumer<SharedRow> mListener = r -> {};

        private StorePosition next() {
            return StorePosition.of(0, mRevision.incrementAndGet());
        }

        private <T> CompletableFuture<T> reply(Callable<T> call) {
            if (mAway) {
                return CompletableFuture.failedFuture(SourceException.of("away"));
            }
            try {
                return CompletableFuture.completedFuture(call.call());
            } catch (Exception e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        @Override
        public CompletableFuture<Versioned<List<SharedRow>>> readAll() {
            return reply(
                    () ->
                            new Versioned<>(
                                    StorePosition.of(0, mRevision.get()),
                                    0,
                                    List.copyOf(mAll.values())));
        }

        @Override
        public CompletableFuture<Versioned<List<SharedRow>>> awaitChanges(
                StorePosition since, long wait) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<SharedRow> compareAndSet(
                String key, String value, StorePosition expected) {
            mWrites++;
            return reply(
                    () -> {
                        SharedRow now = mAll.getOrDefault(key, SharedRow.absent(key, 0));
                        if (!now.position().equals(expected)) {
                            return now;
                        }
                        SharedRow next = new SharedRow(key, value, next());
                        mAll.put(key, next);
                        return next;
                    });
        }

        @Override
        public CompletableFuture<Void> put(String key, String value) {
            SharedRow row = new SharedRow(key, value, next());
            mAll.put(key, row);
            mListener.accept(row);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> remove(String key) {
            return reply(
                    () -> {
                        mAll.remove(key);
                        return null;
                    });
        }

        long refused() {
            return mAll.keySet().stream().filter(k -> k.startsWith("quarantine/")).count();
        }
    }

    /** Is one router's part; its clock stands still until it is moved. */
    private final class Router {
        private final AtomicLong mClock = new AtomicLong();
        private final RowFollower mFollower;
        private final Quarantine mQuarantine;

        Router() {
            String host = "host-" + ++mHosts;
            SplittableRandom random = new SplittableRandom(1);
            InetSocketAddress own = new InetSocketAddress("127.0.0.1", 5_000);
            PeerLink link =
                    new PeerLink(mLoop, new Knowledge.Self(host, own), random, (m, s) -> {});
            FollowerBase.Surroundings around =
                    new FollowerBase.Surroundings(
                            mLoop,
                            mClock::get,
                            random,
                            link,
                            new SourceWatch(() -> {}),
                            new StoreEra(),
                            () -> true);
            List<Quarantine> listener = new ArrayList<>();
            mFollower = new RowFollower(around, mRows, r -> listener.get(0).take(r));
            mQuarantine = new Quarantine(around, mRows, mFollower);
            listener.add(mQuarantine);
        }

        /** Takes what another router tells of the rows, at a time of the store's clock. */
        void hear(long storeMillis) {
            List<SharedRow> rows = List.copyOf(mRows.mAll.values());
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
            onLoop(() -> mQuarantine.onCrash(content, crash));
        }

        void convict(long content) throws Exception {
            for (int i = 1; i <= 3; i++) {
                crash(content, i);
            }
            settle();
        }

        Verdict verdict(long content) throws Exception {
            return call(() -> mQuarantine.verdict(content));
        }

        boolean ask(long content) throws Exception {
            return call(() -> mQuarantine.askToTry(content).join());
        }

        QuarantineTerm row() {
            return QuarantineTerm.read(mRows.mAll.get(KEY).value()).get();
        }
    }

    private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.1", 6_000);

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mGroup.next();
    private final Rows mRows = new Rows();
    private Router mRouter;
    private int mHosts;

    @BeforeEach
    void start() throws Exception {
        mRouter = router();
        mRows.mListener = mRouter.mFollower::onRead; // it waits for changes of the rows
    }

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Router router() throws Exception {
        Router r = new Router();
        onLoop(() -> r.hear(STORE_AHEAD + r.mClock.get()));
        return r;
    }

    private void onLoop(Runnable task) throws Exception {
        mLoop.submit(task).get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private <T> T call(Callable<T> task) throws Exception {
        return mLoop.submit(task).get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Lets what was planned for this turn of the loop and the next be done. */
    private void settle() throws Exception {
        for (int i = 0; i < 3; i++) {
            mLoop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS)
                    .get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void await(Callable<Boolean> condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
        while (!call(condition)) {
            assertThat(System.nanoTime()).isLessThan(until);
            settle();
        }
    }

    // ---------------------------------------------------------------- convicting

    @Test
    void threeEndsOfTargetsRefuseARequestOnAllRouters() throws Exception {
        Router other = router();
        mRouter.crash(CONTENT, 1);
        mRouter.crash(CONTENT, 2);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        mRouter.crash(CONTENT, 3);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        settle();
        assertThat(mRows.refused()).isEqualTo(1);
        onLoop(() -> other.hear(STORE_AHEAD));
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        assertThat(call(() -> other.mQuarantine.backInMillis(CONTENT))).isEqualTo(TEN_MINUTES);
    }

    /** Each router saw one end; whoever hears of all three refuses and writes. */
    @Test
    void endsThatOthersSawCountAsOwnOnes() throws Exception {
        mRouter.crash(CONTENT, 1);
        onLoop(
                () ->
                        mRouter.mQuarantine.take(
                                List.of(new CrashFact(CONTENT, 2), new CrashFact(CONTENT, 3))));
        settle();
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        assertThat(mRows.refused()).isEqualTo(1);
    }

    /** Without the row, routers that no message reaches would lose two targets each. */
    @Test
    void aRouterThatIsCutOffFromTheOthersLearnsOfTwoEndsFromTheStore() throws Exception {
        Router cutOff = router();
        mRouter.crash(CONTENT, 1);
        assertThat(mRows.mAll).isEmpty();
        mRouter.crash(CONTENT, 2);
        settle();
        assertThat(mRows.mAll.keySet()).containsExactly("suspect/" + Hashes.toHex(CONTENT));
        onLoop(() -> cutOff.hear(STORE_AHEAD));
        assertThat(cutOff.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        cutOff.crash(CONTENT, 3);
        assertThat(cutOff.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    /** Requests beside two ends are many in a storm; beyond a bound only messages tell of them. */
    @Test
    void warningsAreBounded() throws Exception {
        for (int i = 1; i <= 1_000; i++) {
            mRouter.crash(i, 1);
            mRouter.crash(i, 2);
        }
        assertThat(mRows.mAll.size()).isAtMost(MAX_ROWS);
    }

    /** Two routers that convict at once leave one row, and neither writes again and again. */
    @Test
    void routersThatConvictAtOnceAgree() throws Exception {
        Router other = router();
        mRouter.convict(CONTENT);
        other.convict(CONTENT);
        settle();
        assertThat(mRows.refused()).isEqualTo(1);
        assertThat(mRows.mWrites).isAtMost(2);
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    @Test
    void whileTheStoreIsAwayItIsRefusedAndWrittenLater() throws Exception {
        mRows.mAway = true;
        mRouter.convict(CONTENT);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        mRows.mAway = false;
        await(() -> mRows.refused() == 1);
    }

    @Test
    void whatWasOnlyBesideTwoEndsIsServedAndToldToBeHarmless() throws Exception {
        mRouter.crash(CONTENT, 1);
        mRouter.crash(CONTENT, 2);
        onLoop(() -> mRouter.mQuarantine.onAnswered(CONTENT));
        assertThat(call(() -> mRouter.mQuarantine.news()))
                .containsExactly(CrashFact.answered(CONTENT));
        mRouter.crash(CONTENT, 3);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
    }

    // ---------------------------------------------------------------- answers that acquit

    /** A target that began the request before it was refused has answered it. */
    @Test
    void anAnswerAfterTheConvictionReleasesTheRequest() throws Exception {
        Router other = router();
        mRouter.convict(CONTENT);
        onLoop(() -> other.hear(STORE_AHEAD));
        onLoop(() -> mRouter.mQuarantine.onAnswered(CONTENT));
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        settle();
        assertThat(mRouter.row().isReleased()).isTrue();
        onLoop(() -> other.hear(STORE_AHEAD));
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
    }

    /** Each end and each answer is seen by one router; the store is away all the while. */
    @Test
    void routersTellEachOtherOfTheAnswerWithoutTheStore() throws Exception {
        Router other = router();
        mRows.mAway = true;
        mRouter.convict(CONTENT);
        other.convict(CONTENT);
        onLoop(() -> mRouter.mQuarantine.onAnswered(CONTENT));
        List<CrashFact> news = call(() -> mRouter.mQuarantine.news());
        onLoop(() -> other.mQuarantine.take(news));
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        passTerm(other, TEN_MINUTES / 2);
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
    }

    /** A row that refuses and the answer cross: the answer counts. */
    @Test
    void aRowThatComesAfterTheAnswerIsReleased() throws Exception {
        Router other = router();
        onLoop(() -> other.mQuarantine.onAnswered(CONTENT));
        mRouter.convict(CONTENT);
        onLoop(() -> other.hear(STORE_AHEAD));
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        await(() -> mRouter.row().isReleased());
    }

    /** Released is not acquitted for ever: new software of targets may not bear the request. */
    @Test
    void aReleasedRequestCanBeConvictedAgain() throws Exception {
        mRouter.convict(CONTENT);
        onLoop(() -> mRouter.mQuarantine.onAnswered(CONTENT));
        settle();
        passTerm(mRouter, TEN_MINUTES);
        for (int i = 11; i <= 13; i++) {
            mRouter.crash(CONTENT, i);
        }
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    /** Each refused request has ended three targets; of a thousand the last ones are kept. */
    @Test
    void aFloodOfDifferentOnesIsBounded() throws Exception {
        for (int i = 1; i <= 1_000; i++) {
            mRouter.convict(i);
        }
        assertThat(mRows.refused()).isAtMost(MAX_ROWS);
        assertThat(mRouter.verdict(1_000)).isEqualTo(Verdict.REFUSE);
        assertThat(call(() -> mRouter.mQuarantine.dump().size())).isAtMost(2 * MAX_ROWS);
    }

    // ---------------------------------------------------------------- terms and trials

    private void passTerm(Router r, long millis) {
        r.mClock.addAndGet(millis);
    }

    @Test
    void afterItsTermOneRouterMayTryItOnce() throws Exception {
        Router other = router();
        mRouter.convict(CONTENT);
        onLoop(() -> other.hear(STORE_AHEAD));
        passTerm(mRouter, TEN_MINUTES);
        passTerm(other, TEN_MINUTES);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.TRY);
        assertThat(mRouter.ask(CONTENT)).isTrue();
        assertThat(other.ask(CONTENT)).isFalse();
        assertThat(other.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    @Test
    void aTrialThatEndsATargetDoublesTheTerm() throws Exception {
        mRouter.convict(CONTENT);
        passTerm(mRouter, TEN_MINUTES);
        mRouter.ask(CONTENT);
        onLoop(() -> mRouter.mQuarantine.onTrialEnded(CONTENT, false));
        assertThat(mRouter.row().termMillis()).isEqualTo(2 * TEN_MINUTES);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    @Test
    void aTrialThatIsAnsweredReleasesTheRequest() throws Exception {
        mRouter.convict(CONTENT);
        passTerm(mRouter, TEN_MINUTES);
        mRouter.ask(CONTENT);
        onLoop(() -> mRouter.mQuarantine.onTrialEnded(CONTENT, true));
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
        mRouter.convict(CONTENT);
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    /** Nobody is allowed to try by a clock that nobody can agree on. */
    @Test
    void whileTheStoreIsAwayNobodyTries() throws Exception {
        mRouter.convict(CONTENT);
        passTerm(mRouter, TEN_MINUTES);
        mRows.mAway = true;
        assertThat(mRouter.ask(CONTENT)).isFalse();
    }

    /** A host's steady clock may not count the time in which it was suspended. */
    @Test
    void aSuspendedRouterTakesTermsForTooLongNeverTooShort() throws Exception {
        Router suspended = router();
        mRouter.convict(CONTENT);
        onLoop(() -> suspended.hear(STORE_AHEAD));
        passTerm(mRouter, TEN_MINUTES);
        assertThat(suspended.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
        onLoop(() -> suspended.hear(STORE_AHEAD + TEN_MINUTES));
        assertThat(suspended.verdict(CONTENT)).isEqualTo(Verdict.TRY);
        onLoop(() -> suspended.hear(STORE_AHEAD)); // late news turns nothing back
        assertThat(suspended.verdict(CONTENT)).isEqualTo(Verdict.TRY);
    }

    // ---------------------------------------------------------------- rows

    /** A router that has just started reads the rows before it knows anything else of them. */
    @Test
    void aRouterThatHasJustStartedKnowsWhatIsRefused() throws Exception {
        mRouter.convict(CONTENT);
        Router started = new Router();
        onLoop(started.mFollower::start);
        assertThat(started.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    /** One that started while the store is away gets the rows from another router. */
    @Test
    void rowsOfAnotherRouterRefuseWithoutTheStoresClock() throws Exception {
        mRouter.convict(CONTENT);
        Router started = new Router();
        onLoop(() -> started.mFollower.onSnapshot(List.copyOf(mRows.mAll.values())));
        assertThat(started.verdict(CONTENT)).isEqualTo(Verdict.REFUSE);
    }

    @Test
    void anOperatorWhoRemovesTheRowReleasesTheRequest() throws Exception {
        mRouter.convict(CONTENT);
        onLoop(() -> mRouter.mFollower.onRead(SharedRow.absent(KEY, 0)));
        assertThat(mRouter.verdict(CONTENT)).isEqualTo(Verdict.SERVE);
    }

    @Test
    void rowsThatNoRouterWritesChangeNothing() throws Exception {
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
}
