package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.member.VersionHistory;
import org.forkseam.core.route.Rendezvous;
import org.forkseam.core.share.StreamOrigin;
import org.forkseam.core.util.Hashes;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Tests that a router finds the software that began a stream at another router, in virtual time and
 * over a simulated network that delays and loses messages.
 */
class StreamOriginsTest {
    private static final String POOL = "p";
    private static final long MAX_DELAY_MILLIS = 5;
    private static final long REPLY_TIMEOUT_MILLIS = 250;

    /** A stream is reported to this many routers at most. */
    private static final int MAX_REPORTS = 2;

    /** A question and its replies. */
    private static final int MAX_QUESTION_MESSAGES = 6;

    /** Routers that exchange messages in virtual time. */
    private static final class Fleet {
        private final SplittableRandom mRandom;
        private final double mLossRate;
        private final List<Router> mRouters = new ArrayList<>();
        private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
        private long mNow = 1_000_000;
        private long mSequence;
        private long mMessages;

        Fleet(int routers, long seed, double lossRate) {
            mRandom = new SplittableRandom(seed);
            mLossRate = lossRate;
            for (int i = 0; i < routers; i++) {
                mRouters.add(new Router(this, i));
            }
        }

        void after(long millis, Runnable task) {
            mEvents.add(new Event(mNow + millis, mSequence++, task));
        }

        void run(long millis) {
            long until = mNow + millis;
            while (!mEvents.isEmpty() && mEvents.peek().at() <= until) {
                Event e = mEvents.poll();
                mNow = e.at();
                e.task().run();
            }
            mNow = until;
        }

        void send(Router from, Router to, PeerMessage m) {
            mMessages++;
            if (mRandom.nextDouble() < mLossRate) {
                return;
            }
            int life = to.mLife;
            after(
                    1 + mRandom.nextLong(MAX_DELAY_MILLIS),
                    () -> {
                        if (to.mLife == life && to.mRunning) {
                            to.receive(m, from);
                        }
                    });
        }

        Router router(int i) {
            return mRouters.get(i);
        }
    }

    /** A task at a time. */
    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int byTime = Long.compare(at, o.at);
            return byTime != 0 ? byTime : Long.compare(sequence, o.sequence);
        }
    }

    /** One router; a restart loses its state. */
    private static final class Router implements StreamOrigins.Network {
        private final Fleet mFleet;
        private final int mIndex;
        private int mLife;
        private boolean mRunning = true;
        private VersionHistory mVersions;
        private StreamOrigins mOrigins;

        Router(Fleet fleet, int index) {
            mFleet = fleet;
            mIndex = index;
            restart();
        }

        void kill() {
            mRunning = false;
            mLife++;
        }

        void restart() {
            mRunning = true;
            mLife++;
            int life = mLife;
            mVersions = VersionHistory.of(1_000);
            mOrigins =
                    new StreamOrigins(
                            (millis, task) ->
                                    mFleet.after(
                                            millis,
                                            () -> {
                                                if (mLife == life) {
                                                    task.run();
                                                }
                                            }),
                            () -> mFleet.mNow,
                            this,
                            mVersions);
        }

        @Override
        public int sendToKeepers(long key, int count, PeerMessage m) {
            List<Router> others = mFleet.mRouters.stream().filter(r -> r.mIndex != mIndex).toList();
            List<Router> keepers =
                    Rendezvous.highest(key, others, r -> Hashes.of("host-" + r.mIndex), count);
            keepers.forEach(k -> mFleet.send(this, k, m));
            return keepers.size();
        }

        @Override
        public void sendTo(InetSocketAddress address, PeerMessage m) {
            mFleet.send(this, mFleet.router(address.getPort()), m);
        }

        void receive(PeerMessage m, Router from) {
            if (m instanceof PeerMessage.StreamQuery q) {
                mOrigins.onQuery(q, InetSocketAddress.createUnresolved("x", from.mIndex));
            } else {
                mOrigins.onOrigins((PeerMessage.StreamOrigins) m);
            }
        }

        void begin(long stream, long software) {
            StreamOrigin o = new StreamOrigin(stream, software);
            mOrigins.record(o);
            if (!mOrigins.isInferable(POOL)) {
                mOrigins.report(o);
            }
        }
    }

    // ---------------------------------------------------------------- tests

    @Test
    void streamIsFoundAtAnyRouter() {
        for (int n : List.of(2, 23, 340)) {
            Fleet f = new Fleet(n, n, 0);
            f.router(0).begin(7, 70);
            f.run(MAX_DELAY_MILLIS);
            f.router(0).kill();
            for (int r = 1; r < n; r++) {
                List<StreamOrigins.Result> results = new ArrayList<>();
                f.router(r).mOrigins.find(7, POOL, results::add);
                f.run(3 * MAX_DELAY_MILLIS);
                assertThat(results).hasSize(1);
                assertThat(results.get(0).software().getAsLong()).isEqualTo(70);
            }
        }
    }

    /** Guards against waiting for routers that have all said that they do not know a stream. */
    @Test
    void unknownStreamIsKnownToBeUnknownBeforeTheTimeout() {
        Fleet f = new Fleet(23, 1, 0);
        List<StreamOrigins.Result> results = new ArrayList<>();
        f.router(3).mOrigins.find(7, POOL, results::add);
        f.run(3 * MAX_DELAY_MILLIS);
        assertThat(results).containsExactly(StreamOrigins.Result.none());
    }

    @Test
    void silentRoutersDelayTheResultByTheTimeoutOnly() {
        Fleet f = new Fleet(4, 1, 0);
        IntStream.range(1, 4).forEach(i -> f.router(i).kill());
        List<StreamOrigins.Result> results = new ArrayList<>();
        f.router(0).mOrigins.find(7, POOL, results::add);
        f.run(REPLY_TIMEOUT_MILLIS - 1);
        assertThat(results).isEmpty();
        f.run(1);
        assertThat(results).containsExactly(StreamOrigins.Result.none());
    }

    @Test
    void routerWithoutOthersKnowsItsOwnStreamsOnly() {
        Fleet f = new Fleet(1, 1, 0);
        f.router(0).begin(7, 70);
        assertThat(f.router(0).mOrigins.report(new StreamOrigin(7, 70))).isFalse();
        List<StreamOrigins.Result> results = new ArrayList<>();
        f.router(0).mOrigins.find(7, POOL, results::add);
        f.router(0).mOrigins.find(8, POOL, results::add);
        assertThat(results.get(0).source()).isEqualTo(StreamOrigins.Source.KNOWN);
        assertThat(results.get(1)).isEqualTo(StreamOrigins.Result.none());
    }

    /** A router that has just started can rely on one that knows the pool for long enough. */
    @Test
    void soleVersionIsInferredForARouterThatHasJustStarted() {
        Fleet f = new Fleet(5, 1, 0);
        long software = 0;
        for (long t = 0; t <= VersionHistory.STREAM_LIFETIME_MILLIS; t += 1_000) {
            Target target =
                    Target.of(new TargetEntry("i", POOL, "10.0.0.1:1", "z", 8, false, 0, 0, "v1"));
            software = target.softwareKey();
            for (int r = 0; r < 5; r++) {
                f.router(r).mVersions.onTargets(List.of(target), f.mNow, f.mNow);
            }
            f.run(1_000);
        }
        f.router(2).restart();
        long before = f.mMessages;
        f.router(1).begin(7, software);
        assertThat(f.mMessages).isEqualTo(before);
        f.router(1).kill();
        List<StreamOrigins.Result> results = new ArrayList<>();
        f.router(2).mOrigins.find(7, POOL, results::add);
        f.run(3 * MAX_DELAY_MILLIS);
        assertThat(results.get(0).software().getAsLong()).isEqualTo(software);
        assertThat(results.get(0).source()).isEqualTo(StreamOrigins.Source.ROUTER);
    }

    /**
     * Guards against a stream that goes on at another software than the one that began it, whatever
     * is lost or restarts, and against a cost per stream that grows with the number of routers.
     */
    @Property(tries = 60)
    void noStreamIsFoundWithAnotherSoftware(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int n = List.of(1, 5, 23, 340).get(random.nextInt(4));
        Fleet f = new Fleet(n, seed, 0.05);
        Map<Long, Long> begun = new HashMap<>();
        long resumed = 0;
        for (int i = 0; i < 400; i++) {
            Router r = f.router(random.nextInt(n));
            int action = random.nextInt(10);
            if (action < 6) {
                long stream = random.nextLong();
                begun.put(stream, 1 + random.nextLong(3));
                r.begin(stream, begun.get(stream));
            } else if (action < 9 && !begun.isEmpty()) {
                resumed++;
                long stream =
                        begun.keySet().stream()
                                .skip(random.nextInt(begun.size()))
                                .findFirst()
                                .get();
                r.mOrigins.find(
                        stream,
                        POOL,
                        result -> {
                            if (result.software().isPresent()) {
                                assertWithMessage("seed %s", seed)
                                        .that(result.software().getAsLong())
                                        .isEqualTo(begun.get(stream));
                            }
                        });
            } else {
                r.restart();
            }
            f.run(random.nextLong(20));
        }
        f.run(REPLY_TIMEOUT_MILLIS);
        assertThat(f.mMessages)
                .isAtMost(MAX_REPORTS * begun.size() + MAX_QUESTION_MESSAGES * resumed);
    }

    /** Guards against losing most streams when half of all routers end at the same moment. */
    @Test
    void mostStreamsAreFoundAfterHalfOfTheRoutersEnd() {
        for (int n : List.of(23, 340)) {
            Fleet f = new Fleet(n, n, 0);
            SplittableRandom random = new SplittableRandom(n);
            List<Long> streams = new ArrayList<>();
            int dead = n / 2;
            for (int i = 0; i < 2_000; i++) {
                long stream = random.nextLong();
                f.router(random.nextInt(dead)).begin(stream, 70);
                streams.add(stream);
            }
            f.run(MAX_DELAY_MILLIS);
            IntStream.range(0, dead).forEach(i -> f.router(i).kill());
            Set<Long> found = new HashSet<>();
            for (long stream : streams) {
                f.router(dead + random.nextInt(n - dead))
                        .mOrigins
                        .find(stream, POOL, r -> r.software().ifPresent(s -> found.add(stream)));
            }
            f.run(REPLY_TIMEOUT_MILLIS);
            assertThat(found.size()).isAtLeast(streams.size() / 2);
        }
    }
}
