package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Simulates a large fleet under steady load and in bursts of five seconds.
 *
 * <p>Guards against prompts being prefilled again because routers have outdated load readings, and
 * against late answers in bursts. The limits lie between the results with and without the gossip of
 * load readings.
 */
class BurstLoadTest {
    private static final long[] SEEDS = {11, 12, 13};

    /** Limit of shared tokens prefilled again in ten seconds of steady load. */
    private static final long CALM_MAX_RECOMPUTED = 90_000;

    /** Limit for five seconds of 1.8 times the load. */
    private static final long BUSY_MAX_RECOMPUTED = 90_000;

    /** Limit at 1.8 times the load. */
    private static final double BUSY_MIN_IN_TIME = 0.98;

    /** Limit at three times the load. */
    private static final double OVERLOAD_MIN_IN_TIME = 0.53;

    /** Limit of requests whose first token came after their deadline. */
    private static final int OVERLOAD_MAX_EXPIRED = 5;

    /** Limit of the mean age of a router's load readings. */
    private static final double MAX_READING_AGE_MILLIS = 700;

    /** Limit with ten times as many routers. */
    private static final double MAX_READING_AGE_MILLIS_340 = 1_000;

    private static PoolSimulation fleet(long seed) {
        PoolSimulation pool =
                new PoolSimulation(
                        new PoolSimulation.Setup(PoolSimulation.Fleet.LARGE, 33, 42, true), seed);
        pool.run(8, 1); // fills the caches and the load readings
        return pool;
    }

    @Test
    void steadyLoadRecomputesFewPrompts() {
        for (long seed : SEEDS) {
            PoolSimulation pool = fleet(seed);
            PoolSimulation.Outcome outcome = pool.run(10, 1);
            assertThat(pool.meanReadingAge()).isLessThan(MAX_READING_AGE_MILLIS);
            pool.drain(20);
            assertThat(outcome.tokensRecomputed()).isLessThan(CALM_MAX_RECOMPUTED);
            assertThat(outcome.shareInTime()).isGreaterThan(0.99);
        }
    }

    @Test
    void burstWithinCapacityIsServedInTime() {
        for (long seed : SEEDS) {
            PoolSimulation pool = fleet(seed);
            PoolSimulation.Outcome outcome = pool.run(5, 1.8);
            pool.drain(20);
            assertThat(outcome.shareInTime()).isGreaterThan(BUSY_MIN_IN_TIME);
            assertThat(outcome.tokensRecomputed()).isLessThan(BUSY_MAX_RECOMPUTED);
        }
    }

    @Test
    void burstBeyondCapacityDegradesWithinBounds() {
        for (long seed : SEEDS) {
            PoolSimulation pool = fleet(seed);
            PoolSimulation.Outcome outcome = pool.run(5, 3);
            pool.drain(20);
            assertThat(outcome.shareInTime()).isGreaterThan(OVERLOAD_MIN_IN_TIME);
            assertThat(outcome.expired()).isAtMost(OVERLOAD_MAX_EXPIRED);
        }
    }

    @Test
    void readingsReachAllOf340Routers() {
        PoolSimulation pool =
                new PoolSimulation(
                        new PoolSimulation.Setup(PoolSimulation.Fleet.LARGE, 340, 42, true), 14);
        pool.run(4, 1);
        assertThat(pool.meanReadingAge()).isLessThan(MAX_READING_AGE_MILLIS_340);
    }
}
