package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.util.Clock;
import org.junit.jupiter.api.Test;

import java.util.SplittableRandom;

/**
 * Tests how often a router tries a store that refuses it. Eight of 23 routers were turned away for
 * nine seconds of a day, and each made some five calls a second, at a price each.
 */
class FollowerBaseTest {
    private static final int DRAWS = 200;

    /** Is a follower of nothing. */
    private static final class Follower extends FollowerBase {
        Follower(boolean serving) {
            super(
                    new Surroundings(
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
        Follower f = new Follower(serving);
        long sum = 0;
        for (int i = 0; i < DRAWS; i++) {
            sum += f.pauseAfter(failures);
        }
        return sum / DRAWS;
    }

    @Test
    void aRouterThatServesTriesSeldom() {
        assertThat(mean(true, 1)).isLessThan(150);
        assertThat(mean(true, 5)).isGreaterThan(1_300);
        assertThat(mean(true, 1_000)).isGreaterThan(1_300);
    }

    @Test
    void aRouterThatKnowsTooLittleTriesOften() {
        assertThat(mean(false, 1)).isLessThan(150);
        assertThat(mean(false, 1_000)).isLessThan(600);
    }

    @Test
    void noPauseIsLongerThanWhatIsAllowedForAChange() {
        Follower f = new Follower(true);
        for (int i = 0; i < DRAWS; i++) {
            assertThat(f.pauseAfter(9)).isLessThan(2_300L);
        }
    }
}
