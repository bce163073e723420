package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Simulates targets with empty caches that join a loaded pool. Guards against the existing targets
 * exceeding their load bound because the joining ones, which own no shards, lower the pool's mean.
 */
class JoiningTargetsTest {
    private static final long[] SEEDS = {21, 22, 23};
    private static final int JOINING = 20;

    /** Multiple of the fleet's usual rate. */
    private static final double LOAD = 1.4;

    /** Limit of the share of requests that meet a target over its bound. */
    private static final double OVER_BOUND_LIMIT = 0.03;

    /** Limit of the share of requests that are not served by their home. */
    private static final double SPILLED_LIMIT = 0.1;

    private static PoolSimulation fleet(long seed) {
        PoolSimulation pool =
                new PoolSimulation(
                        new PoolSimulation.Setup(PoolSimulation.Fleet.SHIFTED, 23, 29, true), seed);
        pool.run(6, LOAD);
        return pool;
    }

    @Test
    void shardsForJoiningTargetsBringHomesBelowTheirBound() {
        for (long seed : SEEDS) {
            PoolSimulation pool = fleet(seed);
            pool.join(JOINING);
            pool.planShards();
            pool.run(2, LOAD);
            PoolSimulation.Outcome outcome = pool.run(5, LOAD);
            assertThat(outcome.shareOverBound()).isLessThan(OVER_BOUND_LIMIT);
            assertThat(outcome.shareSpilled()).isLessThan(SPILLED_LIMIT);
        }
    }

    @Test
    void withoutNewShardsHomesStayAtTheirBound() {
        for (long seed : SEEDS) {
            PoolSimulation pool = fleet(seed);
            pool.join(JOINING);
            pool.run(2, LOAD);
            PoolSimulation.Outcome outcome = pool.run(5, LOAD);
            assertThat(outcome.shareOverBound()).isGreaterThan(OVER_BOUND_LIMIT);
            assertThat(outcome.shareSpilled()).isGreaterThan(SPILLED_LIMIT);
        }
    }
}
