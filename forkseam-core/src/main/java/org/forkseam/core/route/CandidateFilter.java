package org.forkseam.core.route;

import org.forkseam.core.member.Target;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Removes targets that cannot or should not take a request.
 *
 * <p>Targets that accept no work or were already tried are always removed. Unhealthy targets are
 * removed unless more than half of the pool is unhealthy (panic mode): then the health data is more
 * likely to be wrong than the pool, and all are kept. Not thread-safe.
 *
 * @since 0.2
 */
public final class CandidateFilter {
    /** Fraction of healthy targets below which health is ignored. */
    private static final double PANIC_THRESHOLD = 0.5;

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
     * @param tried ids of targets to which this request was already sent
     */
    public Candidates apply(List<Target> pool, Set<String> tried, long nowMillis) {
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
        boolean trusted = healthy.size() >= PANIC_THRESHOLD * usable.size();
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
     * Holds the result of filtering.
     *
     * @param targets the targets that may take the request
     * @param healthTrusted whether unhealthy targets were removed
     */
    public record Candidates(List<Target> targets, boolean healthTrusted) {}
}
