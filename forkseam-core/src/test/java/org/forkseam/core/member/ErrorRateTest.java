package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.Random;

/** Tests the detection of targets with outlying error rates. */
class ErrorRateTest {
    /**
     * Simulates round-robin requests to a pool. After each second consecutive failure of a target,
     * counts whether the target is an outlier (index 1) or not (index 0).
     *
     * @param bad number of targets that fail 45% of their requests
     */
    private static int[] countOutliers(int targets, int failing, long seed) {
        Random random = new Random(seed);
        ErrorRate pool = new ErrorRate();
        ErrorRate[] own = new ErrorRate[targets];
        boolean[] failedBefore = new boolean[targets];
        int[] count = new int[2];
        for (int i = 0; i < 4_000; i++) {
            int t = i % targets;
            own[t] = own[t] == null ? new ErrorRate() : own[t];
            boolean failed = t < failing && random.nextDouble() < 0.45;
            own[t].addResult(failed);
            pool.addResult(failed);
            if (failed && failedBefore[t]) {
                count[own[t].isOutlierIn(pool) ? 1 : 0]++;
            }
            failedBefore[t] = failed;
        }
        return count;
    }

    @Test
    void oneFailingTargetOfManyIsAnOutlier() {
        int[] count = countOutliers(13, 1, 1);
        assertThat(count[1]).isGreaterThan(4 * count[0]);
    }

    /** Outliers are rare if all targets fail alike. */
    @Property(seed = "4751", tries = 50)
    void noOutlierInAUniformlyFailingPool(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 30) int targets) {
        int[] count = countOutliers(targets, targets, seed);
        assertThat(count[1]).isLessThan(1 + count[0] / 5);
    }

    @Test
    void targetWithoutFailuresIsNoOutlier() {
        ErrorRate pool = new ErrorRate();
        pool.addResult(true);
        assertThat(new ErrorRate().isOutlierIn(pool)).isFalse();
    }
}
