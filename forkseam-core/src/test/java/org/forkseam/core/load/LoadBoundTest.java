package org.forkseam.core.load;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.Random;

/** No target is let above its multiple of the mean, and some target always has room. */
class LoadBoundTest {
    @ParameterizedTest
    @CsvSource({
        // multiple, total with the new one, capacity, pool capacity, limit
        "1.25, 1,   8, 8,   2", // one target alone is never refused
        "1.25, 1,   8, 96,  1", // very low load: one each
        "1.25, 12,  8, 96,  2",
        "1.25, 48,  8, 96,  5",
        "1.0,  48,  8, 96,  4",
        "1.25, 10, 16, 24,  9", // twice the capacity, twice the share
        "1.25, 10,  8, 24,  5",
        "1.25, 10,  8, 0,   1"
    })
    void limitIs(double multiple, long total, int capacity, long poolCapacity, int limit) {
        assertThat(LoadBound.limit(multiple, total, capacity, poolCapacity)).isEqualTo(limit);
    }

    @Property(tries = 300, seed = "21")
    void withExactDigestsTheBoundNeverBreaksAndSomebodyAdmits(
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
            int t = random.nextInt(targets);
            if (random.nextInt(5) < 2 && load[t] > 0) {
                load[t]--;
                total--;
                continue;
            }
            if (LoadBound.admits(multiple, load[t], total - load[t], capacity[t], poolCapacity)) {
                load[t]++;
                total++;
                double share = multiple * total * capacity[t] / poolCapacity;
                assertThat(load[t]).isAtMost(Math.max(1, (int) Math.ceil(share)));
            }
            assertThat(someoneAdmits(multiple, load, total, capacity, poolCapacity)).isTrue();
        }
    }

    private static boolean someoneAdmits(
            double multiple, int[] load, long total, int[] capacity, long poolCapacity) {
        for (int i = 0; i < load.length; i++) {
            if (LoadBound.admits(multiple, load[i], total - load[i], capacity[i], poolCapacity)) {
                return true;
            }
        }
        return false;
    }

    @Property(tries = 200, seed = "22")
    void lateLostAndDoubledDigestsLeaveTheNewest(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 50) int n) {
        PoolLoad p = new PoolLoad();
        long newest = -1;
        for (int i = 0; i < n; i++) {
            long seq = random.nextInt(60);
            p.merge(new LoadDigest("t", seq, (int) seq * 2, 8, false, i));
            newest = Math.max(newest, seq);
            assertThat(p.of("t").orElseThrow().sequence()).isEqualTo(newest);
            assertThat(p.totalLoad()).isEqualTo(newest * 2);
            assertThat(p.totalCapacity()).isEqualTo(8);
        }
    }
}
