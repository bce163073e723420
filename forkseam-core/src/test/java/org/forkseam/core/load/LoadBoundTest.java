package org.forkseam.core.load;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.Random;

/** Tests that no target exceeds its load bound and that some target always has capacity. */
class LoadBoundTest {
    @ParameterizedTest
    @CsvSource({
        // multiple, total including the new request, capacity, pool capacity, limit
        "1.25, 1,   8, 8,   2", // a single target always admits
        "1.25, 1,   8, 96,  1", // minimum of one request
        "1.25, 12,  8, 96,  2",
        "1.25, 48,  8, 96,  5",
        "1.0,  48,  8, 96,  4",
        "1.25, 10, 16, 24,  9", // limit is proportional to capacity
        "1.25, 10,  8, 24,  5",
        "1.25, 10,  8, 0,   1"
    })
    void limitMatches(double multiple, long total, int capacity, long poolCapacity, int limit) {
        assertThat(LoadBound.limit(multiple, total, capacity, poolCapacity)).isEqualTo(limit);
    }

    @Property(tries = 300, seed = "21")
    void boundHoldsAndSomeTargetAlwaysAdmits(
            @ForAll Random random,
            @ForAll @IntRange(min = 1, max = 15) int targets,
            @ForAll @DoubleRange(min = 1, max = 3) double multiple) {
        int[] load = new int[targets];
        int[] capacity = new int[targets];
        long poolCapacity = 0;
        for (int i = 0; i < targets; i++) {
            capacity[i] = 1 + random.nextInt(16);
            poolCapacity += capacity[i];
        }
        long total = 0;
        for (int step = 0; step < 400; step++) {
            int target = random.nextInt(targets);
            if (random.nextInt(5) < 2 && load[target] > 0) {
                load[target]--;
                total--;
                continue;
            }
            if (LoadBound.admits(
                    multiple, load[target], total - load[target], capacity[target], poolCapacity)) {
                load[target]++;
                total++;
                double share = multiple * total * capacity[target] / poolCapacity;
                assertThat(load[target]).isAtMost(Math.max(1, (int) Math.ceil(share)));
            }
            assertThat(anyTargetAdmits(multiple, load, total, capacity, poolCapacity)).isTrue();
        }
    }

    private static boolean anyTargetAdmits(
            double multiple, int[] load, long total, int[] capacity, long poolCapacity) {
        for (int i = 0; i < load.length; i++) {
            if (LoadBound.admits(multiple, load[i], total - load[i], capacity[i], poolCapacity)) {
                return true;
            }
        }
        return false;
    }

    @Property(tries = 200, seed = "22")
    void delayedLostAndDuplicateDigestsKeepTheNewest(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 50) int n) {
        PoolLoad pool = new PoolLoad();
        long newest = -1;
        for (int i = 0; i < n; i++) {
            long sequence = random.nextInt(60);
            pool.merge(new LoadDigest("t", sequence, (int) sequence * 2, 8, false, i));
            newest = Math.max(newest, sequence);
            assertThat(pool.newest("t").orElseThrow().sequence()).isEqualTo(newest);
            assertThat(pool.totalLoad()).isEqualTo(newest * 2);
            assertThat(pool.totalCapacity()).isEqualTo(8);
        }
    }
}
