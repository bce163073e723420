package org.forkseam.core.orders;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.forkseam.core.label.Selector;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Tests that rollouts stay within the budget, spread over failure domains and converge. */
class RolloutPlannerTest {
    private static final EngineState OLD = new EngineState("lm", "", "1", "both");
    private static final EngineState DESIRED = new EngineState("lm", "", "2", "");

    private static DeploymentSpec spec(int targets, int budget) {
        return new DeploymentSpec("d", Selector.all(), DESIRED, targets, budget);
    }

    private static RolloutPlanner.ObservedEngine engine(
            int i, EngineState state, boolean changing) {
        return new RolloutPlanner.ObservedEngine(
                "t" + i, "d" + i % 3, Optional.ofNullable(state), changing);
    }

    @Property(tries = 200, seed = "71")
    void convergesWithinTheBudget(
            @ForAll Random random,
            @ForAll @IntRange(min = 1, max = 15) int n,
            @ForAll @IntRange(min = 1, max = 4) int budget) {
        List<RolloutPlanner.ObservedEngine> engines = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            engines.add(engine(i, OLD, false));
        }
        DeploymentSpec spec = spec(0, budget);
        for (int step = 0; step < 60 * n; step++) {
            for (String t : RolloutPlanner.next(spec, engines)) {
                int i = Integer.parseInt(t.substring(1));
                engines.set(i, engine(i, OLD, true));
            }
            long changing =
                    engines.stream().filter(RolloutPlanner.ObservedEngine::changing).count();
            assertThat(changing).isAtMost(budget);
            int i = random.nextInt(n);
            if (engines.get(i).changing()) {
                engines.set(i, engine(i, random.nextInt(4) == 0 ? OLD : DESIRED, false));
            }
        }
        assertThat(engines.stream().allMatch(e -> e.satisfies(DESIRED))).isTrue();
    }

    @Test
    void updatesSpreadOverFailureDomains() {
        List<RolloutPlanner.ObservedEngine> engines = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            engines.add(engine(i, OLD, false));
        }
        assertThat(RolloutPlanner.next(spec(3, 3), engines)).containsExactly("t0", "t1", "t2");
    }

    @Test
    void unresponsiveEnginesUseTheBudget() {
        List<RolloutPlanner.ObservedEngine> engines =
                List.of(engine(0, null, false), engine(1, OLD, false), engine(2, OLD, false));
        assertThat(RolloutPlanner.next(spec(0, 1), engines)).isEmpty();
    }

    @Test
    void nothingIsOrderedOnceEnoughMatch() {
        List<RolloutPlanner.ObservedEngine> engines =
                List.of(engine(0, DESIRED, false), engine(1, OLD, false));
        assertThat(RolloutPlanner.next(spec(1, 2), engines)).isEmpty();
    }
}
