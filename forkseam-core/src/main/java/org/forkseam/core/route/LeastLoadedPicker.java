package org.forkseam.core.route;

import org.forkseam.core.member.Target;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Picks the target with the fewest requests per slot, at random among equals. Not thread-safe.
 *
 * @since 0.2
 */
public final class LeastLoadedPicker implements TargetPicker {
    private final RandomGenerator mRandom;

    private LeastLoadedPicker(RandomGenerator random) {
        mRandom = random;
    }

    /** Creates a picker. */
    public static LeastLoadedPicker of(RandomGenerator random) {
        return new LeastLoadedPicker(random);
    }

    @Override
    public Optional<Pick> pick(PickRequest request, List<Target> candidates, long now) {
        Target best = null;
        double bestLoad = Double.MAX_VALUE;
        int ties = 0;
        for (Target t : candidates) {
            double load =
                    (double) (t.inFlight() + t.othersInFlight(now))
                            / Math.max(1, t.entry().slots());
            if (load > bestLoad) {
                continue;
            }
            ties = load < bestLoad ? 1 : ties + 1;
            bestLoad = load;
            if (ties == 1 || mRandom.nextInt(ties) == 0) {
                best = t;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        int load = best.inFlight() + best.othersInFlight(now);
        return Optional.of(new Pick(best, 0, Pick.Reason.LEAST_LOADED, load));
    }
}
