package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.place.EngineGroups;
import org.forkseam.core.place.PlacementDone;
import org.forkseam.core.place.PlacementQuery;
import org.forkseam.core.place.PlacementReply;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.Hashes;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

/**
 * Tests that routers place prompts through one coordinator in virtual time, and that a coordinator
 * that does not reply delays a request by its time-out only.
 */
class PromptPlacementsTest {
    private static final String POOL = "p";
    private static final int ROUTERS = 5;
    private static final int ENGINES = 6;

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<Router> mRouters = new ArrayList<>();
    private final TargetDirectory mTargets = TargetDirectory.create();
    private long mNow = 1_000_000;
    private long mDelayMillis = 1;
    private long mSequence;
    private long mMessages;

    /** A task at a time. */
    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int byTime = Long.compare(at, o.at);
            return byTime != 0 ? byTime : Long.compare(sequence, o.sequence);
        }
    }

    /** One router. */
    private final class Router implements PromptPlacements.Network {
        private final int mIndex;
        private final PromptPlacements mPlacements;
        private boolean mRunning = true;
        private int mDropped;
        private boolean mKnowsRouters = true;

        Router(int index) {
            mIndex = index;
            mPlacements =
                    new PromptPlacements(
                            PromptPlacementsTest.this::after,
                            () -> mNow,
                            this,
                            mTargets,
                            index * 1_000_000L);
        }

        @Override
        public boolean hasRouters() {
            return mKnowsRouters;
        }

        @Override
        public Optional<InetSocketAddress> coordinator(String pool, int group) {
            return EngineGroups.coordinator(pool, group, mRouters, r -> Hashes.of("h" + r.mIndex))
                    .filter(r -> r != this)
                    .map(r -> address(r.mIndex));
        }

        @Override
        public void sendTo(InetSocketAddress address, PeerMessage m) {
            mMessages++;
            if (mDropped > 0) {
                mDropped--;
                return;
            }
            Router to = mRouters.get(address.getPort() - 1);
            after(mDelayMillis, () -> to.receive(m, address(mIndex)));
        }

        private void receive(PeerMessage m, InetSocketAddress sender) {
            if (!mRunning) {
                return;
            }
            if (m instanceof PeerMessage.PlacePrompt p) {
                mPlacements.onQuery(p.query(), sender);
            } else if (m instanceof PeerMessage.PlacementAnswer a) {
                mPlacements.onReply(a.reply());
            } else if (m instanceof PeerMessage.PromptPlaced p) {
                mPlacements.onDone(p.done(), sender);
            }
        }

        /** Places a prompt with one shared part and returns the result. */
        PromptPlacements.Result place(long key, Target home) {
            List<PromptPlacements.Result> results = new ArrayList<>();
            mPlacements.place(
                    new PromptPlacements.PromptParts(key, key, 8_000, 8_000, 8_400),
                    home,
                    results::add);
            for (int i = 0; i < 100 && results.isEmpty(); i++) {
                run(1);
            }
            assertThat(results).hasSize(1);
            return results.get(0);
        }

        long count(String name) {
            return ((Number) mPlacements.dump().get(name)).longValue();
        }
    }

    private static InetSocketAddress address(int index) {
        return new InetSocketAddress("127.0.0.1", index + 1);
    }

    private void after(long millis, Runnable task) {
        mEvents.add(new Event(mNow + millis, mSequence++, task));
    }

    private void run(long millis) {
        long until = mNow + millis;
        while (!mEvents.isEmpty() && mEvents.peek().at() <= until) {
            Event e = mEvents.poll();
            mNow = e.at();
            e.task().run();
        }
        mNow = until;
    }

    private static TargetEntry entry(int i) {
        return new TargetEntry("e-" + i, POOL, "10.1.0.1:" + (8_000 + i), "d", 64, false, 0);
    }

    @BeforeEach
    void start() {
        List<TargetEntry> entries =
                IntStream.range(0, ENGINES).mapToObj(PromptPlacementsTest::entry).toList();
        mTargets.apply(StorePosition.of(0, 1), entries, mNow);
        IntStream.range(0, ROUTERS).forEach(i -> mRouters.add(new Router(i)));
    }

    private Target engine(int i) {
        return mTargets.find("e-" + i).orElseThrow();
    }

    private Router coordinator() {
        return mRouters.stream()
                .filter(r -> r.coordinator(POOL, 0).isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private Router other() {
        return mRouters.stream().filter(r -> r != coordinator()).findFirst().orElseThrow();
    }

    @Test
    void allRoutersPlaceAPromptAtOneEngine() {
        for (Router r : mRouters) {
            PromptPlacements.Result result = r.place(100, engine(0));
            assertThat(result.source()).isEqualTo(PromptPlacements.Source.PLACED);
            assertThat(result.engine()).isEqualTo(Optional.of(engine(0)));
            r.mPlacements.report(result, result.engine(), true);
            run(10);
        }
        assertThat(coordinator().count("coordinated")).isEqualTo(ROUTERS);
    }

    /** Routers that decide alone would all send their prompts to the same home. */
    @Test
    void promptsWithABusyHomeAreSpread() {
        long engines =
                IntStream.range(0, 4)
                        .mapToObj(i -> other().place(100 + i, engine(0)).engine().orElseThrow())
                        .distinct()
                        .count();
        assertThat(engines).isEqualTo(4);
    }

    @Test
    void placementCostsThreeMessages() {
        PromptPlacements.Result result = other().place(100, engine(0));
        other().mPlacements.report(result, result.engine(), true);
        run(100);
        assertThat(mMessages).isEqualTo(3);
        assertThat(inPrefill()).isEqualTo(0);
    }

    private long inPrefill() {
        Map<?, ?> ledgers = (Map<?, ?>) coordinator().mPlacements.dump().get("ledgers");
        return ledgers.values().stream()
                .mapToLong(l -> ((Number) ((Map<?, ?>) l).get("in_prefill")).longValue())
                .sum();
    }

    @Test
    void promptIsCopiedFromAReportedHolder() {
        PromptPlacements.Result first = other().place(100, engine(0));
        other().mPlacements.report(first, first.engine(), true);
        run(100);
        other().place(101, engine(0));
        PromptPlacements.Result second = other().place(100, engine(1));
        assertThat(second.engine()).isEqualTo(Optional.of(engine(1)));
        assertThat(second.copySource()).isEqualTo(Optional.of(engine(0)));
    }

    @Test
    void lostQueryIsRepeated() {
        other().mDropped = 1;
        assertThat(other().place(100, engine(0)).source())
                .isEqualTo(PromptPlacements.Source.PLACED);
        assertThat(other().count("repeated")).isEqualTo(1);
        assertThat(other().count("timed_out")).isEqualTo(0);
    }

    @Test
    void lostReplyIsRepeatedWithoutASecondPlacement() {
        coordinator().mDropped = 1;
        assertThat(other().place(100, engine(0)).source())
                .isEqualTo(PromptPlacements.Source.PLACED);
        assertThat(inPrefill()).isEqualTo(1);
    }

    /** Guards against counting a placement twice whose reply was lost or came after 8 ms. */
    @Test
    void queryThatIsSentAgainCountsAsOnePlacement() {
        coordinator().mDropped = 1;
        other().place(100, engine(0));
        assertThat(coordinator().count("coordinated")).isEqualTo(1);
        assertThat(coordinator().count("answered_again")).isEqualTo(1);
    }

    /**
     * The coordinator receives both queries and the first reply arrives after the second query was
     * sent.
     */
    @Test
    void queryThatIsAnsweredLateCountsAsOnePlacement() {
        mDelayMillis = 5;
        assertThat(other().place(100, engine(0)).source())
                .isEqualTo(PromptPlacements.Source.PLACED);
        run(100);
        assertThat(other().count("repeated")).isEqualTo(1);
        assertThat(coordinator().count("coordinated")).isEqualTo(1);
    }

    @Test
    void failedCoordinatorDelaysOneRequestAndIsNotQueriedForASecond() {
        coordinator().mRunning = false;
        long start = mNow;
        assertThat(other().place(100, engine(0)).source())
                .isEqualTo(PromptPlacements.Source.TIMEOUT);
        assertThat(mNow - start).isAtMost(PromptPlacements.REPLY_TIMEOUT_MILLIS);
        long sent = mMessages;
        long pausedAt = mNow;
        while (mNow < pausedAt + PromptPlacements.PAUSE_MILLIS) {
            assertThat(other().place(101, engine(0)).source())
                    .isEqualTo(PromptPlacements.Source.NOT_QUERIED);
            run(100);
        }
        assertThat(mMessages).isEqualTo(sent);
        coordinator().mRunning = true;
        assertThat(other().place(102, engine(0)).source())
                .isEqualTo(PromptPlacements.Source.PLACED);
    }

    /** A router that does not know the others would place by its own requests alone. */
    @Test
    void routerThatKnowsNoRouterDoesNotPlace() {
        coordinator().mKnowsRouters = false;
        assertThat(coordinator().place(100, engine(0)).source())
                .isEqualTo(PromptPlacements.Source.NOT_QUERIED);
    }

    @Test
    void lateReplyIsIgnored() {
        Router r = other();
        coordinator().mRunning = false;
        PromptPlacements.Result result = r.place(100, engine(0));
        r.mPlacements.onReply(new PlacementReply(result.id(), engine(0).shortHash(), 0));
        assertThat(r.count("pending")).isEqualTo(0);
    }

    @Test
    void engineUnknownToTheCoordinatorIsNotPlaced() {
        Target foreign = Target.of(new TargetEntry("x", POOL, "10.1.0.2:1", "d", 64, false, 0));
        assertThat(other().place(100, foreign).source())
                .isEqualTo(PromptPlacements.Source.NO_ENGINE);
    }

    /** An impossible slowdown would make an engine look free forever. */
    @Test
    void malformedMessagesAreIgnored() {
        Router r = coordinator();
        long id = other().place(100, engine(0)).id();
        int hash = engine(0).shortHash();
        r.mPlacements.onDone(new PlacementDone(id, hash, true, 0), address(0));
        r.mPlacements.onQuery(new PlacementQuery(9, POOL, 1, 1, 5_000, 100, 200, hash), address(0));
        assertThat(r.count("malformed")).isEqualTo(2);
        assertThat(inPrefill()).isEqualTo(1);
    }

    @Test
    void unusedLedgersAreDropped() {
        other().place(100, engine(0));
        run(60_000);
        coordinator().mPlacements.dropUnused();
        assertThat((Map<?, ?>) coordinator().mPlacements.dump().get("ledgers")).isEmpty();
    }
}
