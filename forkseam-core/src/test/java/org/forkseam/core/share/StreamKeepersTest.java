package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.util.Hashes;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** Tests which routers keep the origin of a stream. */
class StreamKeepersTest {
    private static final int KEEPERS = 2;

    private static long hash(int router) {
        return Hashes.of("host-" + router);
    }

    private static List<Integer> others(int routers, int than) {
        return IntStream.range(0, routers).filter(r -> r != than).boxed().toList();
    }

    private static List<Integer> select(long stream, int routers, int self, int count) {
        Optional<Integer> recorder =
                StreamKeepers.recorder(
                        StreamKeepers.partitionOf(stream, StreamKeepers.partitions(routers)),
                        others(routers, -1),
                        StreamKeepersTest::hash);
        return StreamKeepers.select(
                stream, others(routers, self), recorder, StreamKeepersTest::hash, count);
    }

    /** Guards against a router that asks others than those to which a stream was reported. */
    @Test
    void everyRouterAsksTheKeepers() {
        SplittableRandom random = new SplittableRandom(1);
        for (int n : List.of(2, 5, 23, 340)) {
            for (int i = 0; i < 100; i++) {
                long stream = random.nextLong();
                int began = random.nextInt(n);
                int asking = (began + 1 + random.nextInt(n - 1)) % n;
                List<Integer> reachable = new ArrayList<>(select(stream, n, asking, KEEPERS + 1));
                reachable.add(asking);
                List<Integer> keepers = select(stream, n, began, KEEPERS);
                assertThat(keepers).hasSize(Math.min(KEEPERS, n - 1));
                assertThat(keepers).containsNoDuplicates();
                assertThat(reachable).containsAtLeastElementsIn(keepers);
            }
        }
    }

    /** Guards against a partition to which most streams belong. */
    @Test
    void streamsAreSpreadOverThePartitions() {
        for (int n : List.of(5, 340)) {
            int partitions = StreamKeepers.partitions(n);
            int[] streams = new int[partitions];
            for (int i = 0; i < 8_000; i++) {
                streams[StreamKeepers.partitionOf(Hashes.of("request-" + i), partitions)]++;
            }
            for (int count : streams) {
                assertThat(count).isGreaterThan(8_000 / partitions / 2);
            }
        }
    }
}
