package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates the evacuation of up to half of a pool's targets. Guards against all routers picking
 * the same least loaded target by delayed load readings, so that the remaining targets are
 * overloaded.
 */
class EvacuatedTargetsTest {
    /** Limit of the share of requests that meet a target over its bound. */
    private static final double OVER_BOUND_LIMIT = 0.03;

    @ParameterizedTest
    @CsvSource({"0", "7", "10", "12", "14"})
    void remainingTargetsAreNotOverloaded(int evacuated) {
        for (long seed : new long[] {1, 2, 3}) {
            PoolSimulation.Setup setup =
                    new PoolSimulation.Setup(PoolSimulation.Fleet.SHIFTED, 23, 29, true);
            PoolSimulation pool = new PoolSimulation(setup, seed);
            pool.run(10, 1);
            pool.evacuate(evacuated);
            pool.run(4, 1); // lets earlier requests end
            PoolSimulation.Outcome outcome = pool.run(5, 1);
            pool.drain(5);
            assertThat(outcome.shareOverBound()).isLessThan(OVER_BOUND_LIMIT);
            assertThat(outcome.shareInTime()).isGreaterThan(0.99);
        }
    }
}
