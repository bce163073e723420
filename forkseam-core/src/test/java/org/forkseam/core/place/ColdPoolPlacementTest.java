package org.forkseam.core.place;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.function.Consumer;

/**
 * Tests that coordinated placement reaches the target figures of {@code docs/design/hard-load.md}
 * in the first seconds of a pool whose engines are empty. The figures are fractions of the worth of
 * all requests.
 */
class ColdPoolPlacementTest {
    private static final int SEEDS = 20;
    private static final double REQUESTS_PER_SECOND = 220;

    /** Time after which the model's coordinators reply again after a restart. */
    private static final double DOWN_MILLIS = 500;

    private static PlacingRouters small(double lossRate, long seed) {
        return new PlacingRouters(29, 37, lossRate, true, seed);
    }

    private static double meanWorth(double lossRate, Consumer<PlacingRouters> preparation) {
        double sum = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            PlacingRouters p = small(lossRate, seed);
            preparation.accept(p);
            sum += p.run(REQUESTS_PER_SECOND);
        }
        return sum / SEEDS;
    }

    @Test
    void mostRequestsAreInTimeOnEmptyEngines() {
        assertThat(meanWorth(0, p -> {})).isAtLeast(0.85);
    }

    @Test
    void lostDatagramsCostLittle() {
        assertThat(meanWorth(0.05, p -> {})).isAtLeast(0.83);
    }

    @Test
    void largePoolReachesTheSame() {
        PlacingRouters p = new PlacingRouters(348, 340, 0, true, 1);
        assertThat(p.run(12 * REQUESTS_PER_SECOND)).isAtLeast(0.83);
    }

    /** Restarted coordinators have lost what they had placed, and all routers wait for them. */
    @Test
    void restartedCoordinatorsStillHelp() {
        assertThat(meanWorth(0, p -> p.restartCoordinators(1_000, DOWN_MILLIS))).isAtLeast(0.75);
    }

    @Test
    void noQueriesAreSentOnWarmEngines() {
        PlacingRouters p = small(0, 1);
        p.warmUp(true);
        p.run(REQUESTS_PER_SECOND);
        assertThat(p.queries()).isEqualTo(0);
    }

    /** Engines are warm without a record if the store was unavailable. */
    @Test
    void placementOnWarmEnginesCostsLittle() {
        assertThat(meanWorth(0, p -> p.warmUp(false))).isAtLeast(0.9);
    }
}
