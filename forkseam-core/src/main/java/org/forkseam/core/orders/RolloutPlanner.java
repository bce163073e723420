package org.forkseam.core.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Compares what a deployment declares with what its engines run, and names the next steps.
 *
 * <p>Never more engines change at once than the budget allows, and an engine that does not answer
 * counts as changing. New engines are taken from the failure domain that has fewest of the
 * deployment. Pure and stateless: whoever holds the lease plans afresh each time, so a change of
 * holder loses nothing.
 *
 * @since 0.1
 */
public final class RolloutPlanner {
    private RolloutPlanner() {}

    /**
     * Is one engine as its sidecar last told.
     *
     * @param target the engine
     * @param failureDomain where it is
     * @param state what it runs; empty if it does not answer
     * @param changing whether it is carrying an order out
     */
    public record Observed(
            String target, String failureDomain, Optional<EngineState> state, boolean changing) {
        boolean meets(EngineState wish) {
            return !changing && state.isPresent() && wish.isMetBy(state.get());
        }
    }

    /** Returns the engines to be ordered now, in order. */
    public static List<String> next(DeploymentSpec spec, List<Observed> engines) {
        int unavailable = 0;
        int met = 0;
        Map<String, Integer> perDomain = new HashMap<>();
        List<Observed> candidates = new ArrayList<>();
        for (Observed e : engines) {
            if (e.meets(spec.wish())) {
                met++;
                perDomain.merge(e.failureDomain(), 1, Integer::sum);
            } else if (e.changing() || e.state().isEmpty()) {
                unavailable++;
            } else {
                candidates.add(e);
            }
        }
        int wanted = spec.targets() == 0 ? engines.size() : spec.targets();
        int changing = (int) engines.stream().filter(Observed::changing).count();
        int steps =
                Math.min(wanted - met - changing, Math.max(0, spec.maxUnavailable() - unavailable));
        return pick(candidates, steps, perDomain);
    }

    private static List<String> pick(
            List<Observed> candidates, int steps, Map<String, Integer> perDomain) {
        List<Observed> left = new ArrayList<>(candidates);
        List<String> out = new ArrayList<>();
        while (out.size() < steps && !left.isEmpty()) {
            Observed best =
                    left.stream()
                            .min(
                                    Comparator.comparingInt(
                                                    (Observed e) ->
                                                            perDomain.getOrDefault(
                                                                    e.failureDomain(), 0))
                                            .thenComparing(Observed::target))
                            .orElseThrow();
            left.remove(best);
            perDomain.merge(best.failureDomain(), 1, Integer::sum);
            out.add(best.target());
        }
        return out;
    }
}
