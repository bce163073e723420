package org.forkseam.core.route;

import org.forkseam.core.member.Target;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the target that holds the fewest requests for its slots, at random among equals.
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
        int equals = 0;
        for (Target t : candidates) {
            double load =
                    (double) (t.inFlight() + t.othersInFlight(now))
                            / Math.max(1, t.entry().slots());
            if (load > bestLoad) {
                continue;
            }
            equals = load < bestLoad ? 1 : equals + 1;
            bestLoad = load;
            if (equals == 1 || mRandom.nextInt(equals) == 0) {
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
