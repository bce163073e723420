package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.util.Clock;
import org.junit.jupiter.api.Test;

import java.util.SplittableRandom;

/**
 * Guards the backoff limits: a serving router must not overload a store that refuses it, and one
 * that cannot serve must recover quickly.
 */
class FollowerBaseTest {
    private static final int DRAWS = 200;

    /** Follower without data. */
    private static final class TestFollower extends FollowerBase {
        TestFollower(boolean serving) {
            super(
                    new Context(
                            null,
                            Clock.monotonic(),
                            new SplittableRandom(5),
                            null,
                            null,
                            new StoreEra(),
                            () -> serving));
        }
    }

    private static long mean(boolean serving, int failures) {
        TestFollower f = new TestFollower(serving);
        long sum = 0;
        for (int i = 0; i < DRAWS; i++) {
            sum += f.backoffMillis(failures);
        }
        return sum / DRAWS;
    }

    @Test
    void aServingRouterBacksOffToTheLongMaximum() {
        assertThat(mean(true, 1)).isLessThan(150);
        assertThat(mean(true, 5)).isGreaterThan(1_300);
        assertThat(mean(true, 1_000)).isGreaterThan(1_300);
    }

    @Test
    void aRouterThatCannotServeBacksOffToTheShortMaximum() {
        assertThat(mean(false, 1)).isLessThan(150);
        assertThat(mean(false, 1_000)).isLessThan(600);
    }

    @Test
    void noBackoffExceedsTheChangeLatencyLimit() {
        TestFollower f = new TestFollower(true);
        for (int i = 0; i < DRAWS; i++) {
            assertThat(f.backoffMillis(9)).isLessThan(2_300L);
        }
    }
}
