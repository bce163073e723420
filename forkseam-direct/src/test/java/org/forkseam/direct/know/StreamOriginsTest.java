package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.member.VersionHistory;
import org.forkseam.core.share.StreamKeepers;
import org.forkseam.core.share.StreamOrigin;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.StreamRecords;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * Tests that a router finds the software that began a stream at another router, in virtual time and
 * over a simulated network that delays and loses messages.
 */
class StreamOriginsTest {
    private static final String POOL = "p";
    private static final long MAX_DELAY_MILLIS = 5;
    private static final long REPLY_TIMEOUT_MILLIS = 250;

    /** Duration of a call to the store. */
    private static final long STORE_MILLIS = 10;

    /** Time for which streams begin before all routers end. */
    private static final int SECONDS = 10;

    /** Bound on the writes a second of all routers; small fleets are allowed 400 in all. */
    private static final int MAX_WRITES_PER_SECOND = 32;

    /** The same, with those of the routers that record in place of others. */
    private static final int MAX_WRITES_WITH_SUBSTITUTES_PER_SECOND = 48;

    /** A confirmation of a stream, and two requests to record it in place of its recorder. */
    private static final int MAX_RECORD_MESSAGES = 3;

    /** All but the streams of the last 2 of {@link #SECONDS}, which are not confirmed yet. */
    private static final double MIN_FOUND_WITH_SUBSTITUTES = 0.8;

    /** Routers at which streams are resumed; each may hold a copy of all records, some 3 MB. */
    private static final int MAX_RESUMING_ROUTERS = 23;

    /** Bytes of the messages about a stream; two reports alone have 96. */
    private static final long MAX_BYTES_PER_STREAM = 135;

    /** Headers of UDP and IP. */
    private static final int HEADER_BYTES = 28;

    /** A stream is reported to this many routers at most. */
    private static final int MAX_REPORTS = 2;

    /** A question and its replies. */
    private static final int MAX_QUESTION_MESSAGES = 6;

    /** Routers that exchange messages in virtual time. */
    private static final class Fleet {
        private final SplittableRandom mRandom;
        private final double mLossRate;
        private final Records mRecords = new Records(this);
        private final List<Router> mRouters = new ArrayList<>();
        private final Map<Integer, List<Router>> mRecorders = new HashMap<>();
        private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
        private long mNow = 1_000_000;
        private long mSequence;

        /** Reports, questions and replies. */
        private long mMessages;

        /** Confirmations of records, and requests to record in place of others. */
        private long mRecordMessages;

        private long mMessageBytes;
        private long mStreams;
        private long mRecordMessagesBeforeEnd;
        private long mBytesBeforeEnd;
        private long mWritesBeforeEnd;

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
            if (m instanceof PeerMessage.RecordStreams
                    || m instanceof PeerMessage.StreamsRecorded) {
                mRecordMessages++;
            } else {
                mMessages++;
            }
            mMessageBytes += PeerCodec.write(m).orElseThrow().readableBytes() + HEADER_BYTES;
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

        int partitions() {
            return StreamKeepers.partitions(mRouters.size());
        }

        Optional<Router> recorder(long stream) {
            return recorder(StreamKeepers.partitionOf(stream, partitions()), 0);
        }

        Optional<Router> recorder(int partition, int rank) {
            return mRecorders
                    .computeIfAbsent(
                            partition,
                            p ->
                                    StreamKeepers.recorders(
                                            p, mRouters, Router::hash, StreamOrigins.RECORDERS))
                    .stream()
                    .skip(rank)
                    .findFirst();
        }
    }

    /** Records in the store; away unless a test connects it, and slow once connected. */
    private static final class Records implements StreamRecords {
        private final Fleet mFleet;
        private final Map<Integer, Map<String, byte[]>> mParts = new HashMap<>();
        private boolean mConnected;
        private long mWrites;
        private long mReads;
        private long mBytes;

        Records(Fleet fleet) {
            mFleet = fleet;
        }

        private Map<String, byte[]> part(int partition) {
            return mParts.computeIfAbsent(partition, p -> new TreeMap<>());
        }

        @Override
        public CompletableFuture<Map<String, byte[]>> read(int partition) {
            mReads++;
            return respond(() -> Map.copyOf(part(partition)));
        }

        @Override
        public CompletableFuture<Void> write(
                int partition, String key, byte[] value, List<String> removed) {
            mWrites++;
            mBytes += value.length;
            return respond(
                    () -> {
                        removed.forEach(part(partition)::remove);
                        part(partition).put(key, value);
                        return null;
                    });
        }

        private <T> CompletableFuture<T> respond(Supplier<T> call) {
            if (!mConnected) {
                return CompletableFuture.failedFuture(SourceException.of("store away"));
            }
            CompletableFuture<T> result = new CompletableFuture<>();
            mFleet.after(STORE_MILLIS, () -> result.complete(call.get()));
            return result;
        }

        int rows() {
            return mParts.values().stream().mapToInt(Map::size).sum();
        }

        Map<Integer, Map<String, byte[]>> copy() {
            Map<Integer, Map<String, byte[]>> copy = new HashMap<>();
            mParts.forEach((p, rows) -> copy.put(p, new TreeMap<>(rows)));
            return copy;
        }

        void restore(Map<Integer, Map<String, byte[]>> copy) {
            mParts.clear();
            copy.forEach((p, rows) -> mParts.put(p, new TreeMap<>(rows)));
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
        private final long mHash;
        private int mLife;
        private boolean mRunning = true;
        private boolean mReachesStore = true;
        private VersionHistory mVersions;
        private StreamOrigins mOrigins;

        Router(Fleet fleet, int index) {
            mFleet = fleet;
            mIndex = index;
            mHash = Hashes.of("host-" + index);
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
                            mVersions,
                            records());
        }

        /** Returns the records, which fail while this router does not reach the store. */
        private StreamRecords records() {
            return new StreamRecords() {
                @Override
                public CompletableFuture<Map<String, byte[]>> read(int partition) {
                    return mReachesStore
                            ? mFleet.mRecords.read(partition)
                            : CompletableFuture.failedFuture(SourceException.of("cut off"));
                }

                @Override
                public CompletableFuture<Void> write(
                        int partition, String key, byte[] value, List<String> removed) {
                    return mReachesStore
                            ? mFleet.mRecords.write(partition, key, value, removed)
                            : CompletableFuture.failedFuture(SourceException.of("cut off"));
                }
            };
        }

        @Override
        public int sendToKeepers(long stream, int count, PeerMessage m) {
            List<Router> others = mFleet.mRouters.stream().filter(r -> r.mIndex != mIndex).toList();
            List<Router> keepers =
                    StreamKeepers.select(
                            stream, others, mFleet.recorder(stream), Router::hash, count);
            keepers.forEach(k -> mFleet.send(this, k, m));
            return keepers.size();
        }

        @Override
        public int partitions() {
            return mFleet.partitions();
        }

        @Override
        public boolean isRecorder(int partition, int rank) {
            return mFleet.recorder(partition, rank).filter(r -> r == this).isPresent();
        }

        @Override
        public void sendToRecorder(int partition, int rank, PeerMessage m) {
            mFleet.recorder(partition, rank)
                    .filter(r -> r != this)
                    .ifPresent(r -> mFleet.send(this, r, m));
        }

        private long hash() {
            return mHash;
        }

        @Override
        public void sendTo(InetSocketAddress address, PeerMessage m) {
            mFleet.send(this, mFleet.router(address.getPort()), m);
        }

        void receive(PeerMessage m, Router from) {
            InetSocketAddress sender = InetSocketAddress.createUnresolved("x", from.mIndex);
            if (m instanceof PeerMessage.StreamQuery q) {
                mOrigins.onQuery(q, sender);
            } else if (m instanceof PeerMessage.RecordStreams r) {
                mOrigins.onRecordRequest(r, sender);
            } else if (m instanceof PeerMessage.StreamsRecorded r) {
                mOrigins.onRecorded(r);
            } else {
                mOrigins.onOrigins((PeerMessage.StreamOrigins) m, sender);
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

    private static Target target(String id, String version) {
        return Target.of(new TargetEntry(id, POOL, "10.0.0.1:1", "z", 8, false, 0, 0, version));
    }

    /** Lets routers know the targets for as long as streams last. */
    private static void runWithTargets(Fleet f, List<Target> targets) {
        for (long t = 0; t <= VersionHistory.STREAM_LIFETIME_MILLIS; t += 1_000) {
            f.mRouters.forEach(r -> r.mVersions.onTargets(targets, f.mNow, f.mNow));
            f.run(1_000);
        }
    }

    /**
     * Guards against a router that takes the version which others have inferred for a caller that
     * names no request as the origin of all such streams, also once a second version is there.
     */
    @Test
    void inferenceForAnUnnamedStreamIsNotRemembered() {
        Fleet f = new Fleet(5, 1, 0);
        f.mRecords.mConnected = true;
        runWithTargets(f, List.of(target("a", "v1")));
        f.router(2).restart();
        long unnamed = StreamOrigins.streamOf("");
        f.router(2).mOrigins.find(unnamed, POOL, r -> {});
        f.run(1_000);
        List<Target> both = List.of(target("a", "v1"), target("b", "v2"));
        f.mRouters.forEach(r -> r.mVersions.onTargets(both, f.mNow, f.mNow));
        f.run(5_000);
        for (Router r : f.mRouters) {
            List<StreamOrigins.Result> results = new ArrayList<>();
            r.mOrigins.find(unnamed, POOL, results::add);
            f.run(REPLY_TIMEOUT_MILLIS);
            assertThat(results).containsExactly(StreamOrigins.Result.none());
        }
    }

    /**
     * Guards against a router that has just started and infers the origin of a stream from the pool
     * of its route, while that route has led to another pool shortly before.
     */
    @Test
    void recordGoesBeforeInferenceAfterAStart() {
        for (int n : List.of(5, 23, 340)) {
            Fleet f = new Fleet(n, 1, 0);
            f.mRecords.mConnected = true;
            List<Target> targets = List.of(target("a", "v1"));
            long earlierPool = 70;
            f.router(0).mOrigins.record(new StreamOrigin(7, earlierPool));
            f.router(0).mOrigins.report(new StreamOrigin(7, earlierPool)); // its route has changed
            f.run(1_000);
            f.mRouters.forEach(Router::kill);
            f.mRouters.forEach(Router::restart);
            for (Router r : f.mRouters) {
                long v1 = targets.get(0).softwareKey();
                r.mVersions.onRecord(POOL, Map.of(v1, f.mNow - 60_000), f.mNow - 60_000, f.mNow);
                r.mVersions.onTargets(targets, f.mNow, f.mNow);
                r.mVersions.onRecordsCurrent(f.mNow);
            }
            for (long stream : List.of(7L, 8L)) {
                List<StreamOrigins.Result> results = new ArrayList<>();
                f.router(1).mOrigins.find(stream, POOL, results::add);
                f.run(REPLY_TIMEOUT_MILLIS);
                long expected = stream == 7 ? earlierPool : targets.get(0).softwareKey();
                assertThat(results.get(0).software().getAsLong()).isEqualTo(expected);
            }
        }
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
        assertThat(f.mRecordMessages).isAtMost((long) MAX_RECORD_MESSAGES * begun.size());
    }

    /**
     * Guards against a stream that goes on at another software after all routers have ended, with
     * calls to the store that fail and with records that come back from an older copy of it.
     */
    @Property(tries = 40)
    void noStreamIsFoundWithAnotherSoftwareInTheRecords(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int n = List.of(1, 5, 23, 340).get(random.nextInt(4));
        Fleet f = new Fleet(n, seed, 0.05);
        f.mRecords.mConnected = true;
        Map<Long, Long> begun = new HashMap<>();
        Map<Integer, Map<String, byte[]>> older = f.mRecords.copy();
        for (int i = 0; i < 400; i++) {
            int action = random.nextInt(100);
            Router r = f.router(random.nextInt(n));
            if (action < 60) {
                long stream = random.nextLong();
                begun.put(stream, 1 + random.nextLong(3));
                r.begin(stream, begun.get(stream));
            } else if (action < 90 && !begun.isEmpty()) {
                long stream =
                        begun.keySet().stream()
                                .skip(random.nextInt(begun.size()))
                                .findFirst()
                                .get();
                r.mOrigins.find(stream, POOL, result -> checkSoftware(seed, begun, stream, result));
            } else if (action < 93) {
                f.mRouters.forEach(Router::restart);
            } else if (action < 95) {
                f.mRecords.mConnected = !f.mRecords.mConnected;
            } else if (action < 97) {
                older = f.mRecords.copy();
            } else if (action < 98) {
                f.mRecords.restore(older);
            } else {
                r.restart();
            }
            f.run(random.nextLong(100));
        }
        f.run(60_000);
    }

    private static void checkSoftware(
            long seed, Map<Long, Long> begun, long stream, StreamOrigins.Result result) {
        if (result.software().isPresent()) {
            assertWithMessage("seed %s", seed)
                    .that(result.software().getAsLong())
                    .isEqualTo(begun.get(stream));
        }
    }

    /**
     * Guards against refusing every stream after all routers have ended at the same moment, and
     * against writes whose number grows with routers or streams.
     */
    @Test
    void mostStreamsAreFoundAfterAllRoutersEnd() {
        for (int n : List.of(5, 23, 340)) {
            Fleet f = new Fleet(n, n, 0);
            f.mRecords.mConnected = true;
            SplittableRandom random = new SplittableRandom(n);
            int perSecond = n == 340 ? 3_500 : 244;
            List<Long> streams = new ArrayList<>();
            long start = f.mNow;
            for (int i = 0; i < SECONDS * perSecond; i++) {
                streams.add(random.nextLong());
                f.router(random.nextInt(n)).begin(streams.get(i), 1 + i % 3);
                f.run(start + i * 1_000L / perSecond - f.mNow);
            }
            long elapsed = f.mNow - start;
            assertThat(f.mMessages).isAtMost((long) MAX_REPORTS * streams.size());
            assertThat(f.mRecordMessages).isAtMost((long) streams.size());
            assertThat(f.mRecords.mWrites).isAtMost(MAX_WRITES_PER_SECOND * (elapsed / 1_000 + 1));
            f.mRouters.forEach(Router::kill);
            f.run(1_000);
            f.mRouters.forEach(Router::restart);
            long readsBefore = f.mRecords.mReads;
            Set<Long> found = new HashSet<>();
            for (long stream : streams) {
                f.router(random.nextInt(n))
                        .mOrigins
                        .find(stream, POOL, r -> r.software().ifPresent(s -> found.add(stream)));
            }
            f.run(REPLY_TIMEOUT_MILLIS);
            // All but those of the last interval.
            assertThat(found.size()).isAtLeast(streams.size() * (SECONDS - 1) / SECONDS);
            assertThat(f.mRecords.mReads - readsBefore).isAtMost(f.partitions());
        }
    }

    /** Guards against records that stay in the store for ever, also those of ended routers. */
    @Test
    void recordsOfStreamsThatHaveEndedAreRemoved() {
        Fleet f = new Fleet(5, 5, 0);
        f.mRecords.mConnected = true;
        SplittableRandom random = new SplittableRandom(5);
        int most = 0;
        for (int second = 0; second < 300; second++) {
            for (int i = 0; i < 20; i++) {
                f.router(random.nextInt(5)).begin(random.nextLong(), 1);
                f.run(50);
            }
            if (second % 70 == 0) {
                f.mRouters.forEach(Router::restart);
            }
            most = Math.max(most, f.mRecords.rows());
        }
        // Those of two retention times, since a router that starts does not know their age.
        assertThat(most).isAtMost(2 * 40 * MAX_WRITES_PER_SECOND);
        f.run(100_000);
        f.router(0).begin(random.nextLong(), 1);
        assertThat(f.mRecords.rows()).isAtMost(40 * MAX_WRITES_PER_SECOND);
    }

    /** Guards against a stream that is refused because the router that records it has ended. */
    @Test
    void recordsAreReadHereIfTheirRecorderDoesNotReply() {
        Fleet f = new Fleet(5, 5, 0);
        f.mRecords.mConnected = true;
        long stream = 7;
        Router recorder = f.recorder(stream).get();
        Router asked = f.router(recorder.mIndex == 0 ? 1 : 0);
        recorder.begin(stream, 70);
        f.run(1_000);
        f.mRouters.forEach(Router::kill);
        asked.restart();
        List<StreamOrigins.Result> results = new ArrayList<>();
        asked.mOrigins.find(stream, POOL, results::add);
        f.run(REPLY_TIMEOUT_MILLIS + STORE_MILLIS);
        assertThat(results)
                .containsExactly(StreamOrigins.Result.of(70, StreamOrigins.Source.RECORD));
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

    // ---------------------------------------------------------------- recorders that do not record

    /**
     * Lets streams begin for {@link #SECONDS} at the other routers than the recorder of the first
     * partition, ends all routers and returns the share of the streams that are found.
     */
    private static double shareFoundAfterAllEnd(Fleet f, Router recorder) {
        int n = f.mRouters.size();
        SplittableRandom random = new SplittableRandom(n);
        int perSecond = n == 340 ? 3_500 : 244;
        List<Long> streams = new ArrayList<>();
        long start = f.mNow;
        for (int i = 0; i < SECONDS * perSecond; i++) {
            streams.add(random.nextLong());
            int at = random.nextInt(n - 1);
            f.router(at < recorder.mIndex ? at : at + 1).begin(streams.get(i), 1 + i % 3);
            f.run(start + (i + 1) * 1_000L / perSecond - f.mNow);
        }
        long elapsed = f.mNow - start;
        f.mStreams = streams.size();
        f.mRecordMessagesBeforeEnd = f.mRecordMessages;
        f.mBytesBeforeEnd = f.mMessageBytes;
        f.mWritesBeforeEnd = f.mRecords.mWrites;
        assertThat(f.mMessages).isAtMost((long) MAX_REPORTS * streams.size());
        assertThat(f.mRecordMessages).isAtMost((long) MAX_RECORD_MESSAGES * streams.size());
        assertThat(f.mRecords.mWrites)
                .isAtMost(MAX_WRITES_WITH_SUBSTITUTES_PER_SECOND * (elapsed / 1_000 + 1));
        f.mRouters.forEach(Router::kill);
        f.run(1_000);
        f.mRouters.forEach(r -> r.mReachesStore = true);
        f.mRouters.forEach(Router::restart);
        Set<Long> found = new HashSet<>();
        for (long stream : streams) {
            f.router(random.nextInt(Math.min(n, MAX_RESUMING_ROUTERS)))
                    .mOrigins
                    .find(stream, POOL, r -> r.software().ifPresent(s -> found.add(stream)));
        }
        f.run(2 * REPLY_TIMEOUT_MILLIS); // a lost reply leads to a read here
        return (double) found.size() / streams.size();
    }

    private static Fleet connectedFleet(int routers) {
        Fleet f = new Fleet(routers, routers, 0);
        f.mRecords.mConnected = true;
        return f;
    }

    private static Router firstRecorder(Fleet f) {
        return StreamKeepers.recorder(0, f.mRouters, Router::hash).orElseThrow();
    }

    /**
     * Guards against refusing the streams of a partition, which are half of all in a small fleet,
     * because their recorder had ended or was suspended, and the others still listed it.
     */
    @Test
    void streamsAreRecordedWhileTheirRecorderIsSilent() {
        for (int n : List.of(5, 23, 340)) {
            Fleet f = connectedFleet(n);
            Router recorder = firstRecorder(f);
            recorder.kill();
            assertWithMessage("%s routers", n)
                    .that(shareFoundAfterAllEnd(f, recorder))
                    .isAtLeast(MIN_FOUND_WITH_SUBSTITUTES);
        }
    }

    /** As above, with a recorder that hears the other routers and does not reach the store. */
    @Test
    void streamsAreRecordedWhileTheirRecorderIsCutOffFromTheStore() {
        for (int n : List.of(5, 23, 340)) {
            Fleet f = connectedFleet(n);
            Router recorder = firstRecorder(f);
            recorder.mReachesStore = false;
            assertWithMessage("%s routers", n)
                    .that(shareFoundAfterAllEnd(f, recorder))
                    .isAtLeast(MIN_FOUND_WITH_SUBSTITUTES);
        }
    }

    /** As above, without any fault and with lost messages only; the cost stays within bounds. */
    @Test
    void streamsOfLostReportsAreRecorded() {
        for (int n : List.of(5, 23, 340)) {
            Fleet f = new Fleet(n, n, 0.05);
            f.mRecords.mConnected = true;
            assertWithMessage("%s routers", n)
                    .that(shareFoundAfterAllEnd(f, firstRecorder(f)))
                    .isAtLeast(MIN_FOUND_WITH_SUBSTITUTES);
        }
    }

    /** Guards against a cost of confirmations that grows faster than the streams. */
    @Test
    void confirmationsAddLessThanAMessageToAStream() {
        for (int n : List.of(5, 23, 340)) {
            Fleet f = connectedFleet(n);
            double found = shareFoundAfterAllEnd(f, firstRecorder(f));
            assertWithMessage("%s routers", n).that(found).isAtLeast(0.95);
            assertThat(f.mRecordMessagesBeforeEnd).isAtMost(f.mStreams);
            assertThat(f.mBytesBeforeEnd).isAtMost(MAX_BYTES_PER_STREAM * f.mStreams);
            assertThat(f.mWritesBeforeEnd).isAtMost((long) MAX_WRITES_PER_SECOND * (SECONDS + 1));
        }
    }

    /** Guards against rows in the store for ever that others wrote while a recorder was cut off. */
    @Test
    void rowsOfSubstitutesAreRemoved() {
        Fleet f = connectedFleet(5);
        SplittableRandom random = new SplittableRandom(5);
        Router recorder = firstRecorder(f);
        Router other = f.router(recorder.mIndex == 0 ? 1 : 0);
        beginStreams(f, other, random, 10); // the recorder has read the rows
        Set<String> own = Set.copyOf(f.mRecords.part(0).keySet());
        recorder.mRunning = false;
        beginStreams(f, other, random, 10);
        Set<String> rows = new HashSet<>(f.mRecords.part(0).keySet());
        rows.removeAll(own);
        assertThat(rows).isNotEmpty();
        recorder.mRunning = true;
        beginStreams(f, other, random, 120);
        Set<String> left = new HashSet<>(f.mRecords.part(0).keySet());
        left.retainAll(rows);
        assertThat(left).isEmpty();
    }

    private static void beginStreams(Fleet f, Router at, SplittableRandom random, int seconds) {
        for (int i = 0; i < 20 * seconds; i++) {
            at.begin(random.nextLong(), 1);
            f.run(50);
        }
    }
}
