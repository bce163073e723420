package org.forkseam.core.outcome;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Tests the delay after which refused callers retry. */
class RetryDelayEstimatorTest {
    private final RetryDelayEstimator mEstimator = RetryDelayEstimator.startingAt(0);

    private long refuse(int count, long now) {
        long last = 0;
        for (int i = 0; i < count; i++) {
            last = mEstimator.onRefused(now);
        }
        return last;
    }

    private void serve(int count, long from, long to) {
        for (int i = 0; i < count; i++) {
            mEstimator.onServed(from + (to - from) * i / count);
        }
    }

    @Test
    void idlePoolGetsTheMinimumDelay() {
        serve(50, 0, 1_000);
        assertThat(refuse(1, 1_000)).isEqualTo(100);
    }

    /**
     * Thirty refusals at a pool that serves about thirty requests per second give a delay of about
     * a second.
     */
    @Test
    void delayGrowsWithRefusals() {
        serve(150, 0, 5_000);
        long few = refuse(10, 5_000);
        long many = refuse(20, 5_000);
        assertThat(few).isLessThan(many);
        assertThat(many).isAtLeast(800L);
        assertThat(many).isAtMost(1_300L);
    }

    @Test
    void oldRefusalsDecay() {
        refuse(100, 0);
        serve(30, 9_000, 10_000);
        assertThat(refuse(1, 10_000)).isEqualTo(100);
    }

    /** The delay stays within its bounds for any sequence of requests. */
    @Property(seed = "4741")
    void delayStaysWithinBounds(
            @ForAll @Size(max = 80) List<@IntRange(max = 3_000) Integer> pauses) {
        RetryDelayEstimator estimator = RetryDelayEstimator.startingAt(0);
        long now = 0;
        for (int p : pauses) {
            now += p;
            if (p % 3 == 0) {
                estimator.onServed(now);
                continue;
            }
            assertThat(estimator.onRefused(now)).isAtLeast(100L);
            assertThat(estimator.onRefused(now)).isAtMost(2_000L);
        }
    }
}
