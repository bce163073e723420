package org.forkseam.core.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans the next steps of a rollout from the desired and the observed state of the engines.
 *
 * <p>The number of engines that change at the same time never exceeds the deployment's limit;
 * unresponsive engines count as changing. Engines are chosen from the failure domain with the
 * fewest updated ones. Stateless, so that a new lease holder can continue a rollout. Thread-safe.
 *
 * @since 0.1
 */
public final class RolloutPlanner {
    private RolloutPlanner() {}

    /**
     * Engine as last reported by its sidecar.
     *
     * @param target the engine's target name
     * @param failureDomain its failure domain
     * @param state its state; empty if it does not respond
     * @param changing whether it is executing an order
     */
    public record ObservedEngine(
            String target, String failureDomain, Optional<EngineState> state, boolean changing) {
        boolean satisfies(EngineState desired) {
            return !changing && state.isPresent() && desired.isSatisfiedBy(state.get());
        }
    }

    /** Returns the engines to be changed now, in order. */
    public static List<String> next(DeploymentSpec spec, List<ObservedEngine> engines) {
        int unavailable = 0;
        int satisfied = 0;
        Map<String, Integer> perDomain = new HashMap<>();
        List<ObservedEngine> candidates = new ArrayList<>();
        for (ObservedEngine e : engines) {
            if (e.satisfies(spec.desired())) {
                satisfied++;
                perDomain.merge(e.failureDomain(), 1, Integer::sum);
            } else if (e.changing() || e.state().isEmpty()) {
                unavailable++;
            } else {
                candidates.add(e);
            }
        }
        int wanted = spec.targetCount() == 0 ? engines.size() : spec.targetCount();
        int changing = (int) engines.stream().filter(ObservedEngine::changing).count();
        int steps =
                Math.min(
                        wanted - satisfied - changing,
                        Math.max(0, spec.maxUnavailable() - unavailable));
        return pick(candidates, steps, perDomain);
    }

    private static List<String> pick(
            List<ObservedEngine> candidates, int steps, Map<String, Integer> perDomain) {
        List<ObservedEngine> remaining = new ArrayList<>(candidates);
        List<String> out = new ArrayList<>();
        while (out.size() < steps && !remaining.isEmpty()) {
            ObservedEngine next =
                    remaining.stream()
                            .min(
                                    Comparator.comparingInt(
                                                    (ObservedEngine e) ->
                                                            perDomain.getOrDefault(
                                                                    e.failureDomain(), 0))
                                            .thenComparing(ObservedEngine::target))
                            .orElseThrow();
            remaining.remove(next);
            perDomain.merge(next.failureDomain(), 1, Integer::sum);
            out.add(next.target());
        }
        return out;
    }
}
