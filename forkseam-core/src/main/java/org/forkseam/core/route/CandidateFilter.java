package org.forkseam.core.route;

import org.forkseam.core.member.Target;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Leaves out the targets that cannot or should not take a request.
 *
 * <p>Targets that take no work or were tried already are left out always. Those that seem sick are
 * left out only while most of the pool seems well: when most seem sick, the view is more likely
 * wrong than the pool, and all are used.
 *
 * @since 0.2
 */
public final class CandidateFilter {
    /** Below this share of healthy targets the view of health is distrusted. */
    private static final double TRUSTED_SHARE = 0.5;

    private final RandomGenerator mRandom;

    private CandidateFilter(RandomGenerator random) {
        mRandom = random;
    }

    /** Creates a filter. */
    public static CandidateFilter of(RandomGenerator random) {
        return new CandidateFilter(random);
    }

    /**
     * Returns the targets that may take a request.
     *
     * @param pool all targets of the pool
     * @param tried ids of targets that this request was sent to already
     */
    public Candidates of(List<Target> pool, Set<String> tried, long nowMillis) {
        List<Target> usable = new ArrayList<>(pool.size());
        List<Target> healthy = new ArrayList<>(pool.size());
        for (Target t : pool) {
            if (!t.acceptsRequests(nowMillis) || tried.contains(t.entry().id())) {
                continue;
            }
            usable.add(t);
            if (isHealthy(t, nowMillis)) {
                healthy.add(t);
            }
        }
        boolean trusted = healthy.size() >= TRUSTED_SHARE * usable.size();
        return new Candidates(trusted ? healthy : usable, trusted);
    }

    private boolean isHealthy(Target t, long now) {
        double share = t.health().trafficShare(now);
        if (share < 1 && mRandom.nextDouble() >= share) {
            return false;
        }
        return !t.isSilent(now) && !t.isFull(now);
    }

    /**
     * Holds the targets left.
     *
     * @param targets those that may take the request
     * @param trusted whether the view of their health was used
     */
    public record Candidates(List<Target> targets, boolean trusted) {}
}
