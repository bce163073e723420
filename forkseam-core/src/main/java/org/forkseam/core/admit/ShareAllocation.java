package org.forkseam.core.admit;

import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the admitted share among priorities and teams by the mix of recent requests: urgent
 * priorities first, while each priority and each team keeps a minimum. Not thread-safe.
 */
final class ShareAllocation {
    /**
     * Minimum share of a priority or team, as a fraction of the mean share. Required are 0.3; the
     * margin covers that most requests that return after a rejection are of low priority.
     */
    private static final double MIN_FRACTION = 0.35;

    /**
     * Requests assumed to be begun at the mean share in addition to the counted ones of a key. With
     * this, about ten rejections in a row show that a key receives less than its minimum.
     */
    private static final double PRIOR_REQUESTS = 4;

    /** Steady share of a priority above which a fluctuation does not affect it. */
    private static final double UNAFFECTED_SHARE = 0.6;

    private final RecentCounts<Integer> mPriorities = new RecentCounts<>();
    private final RecentCounts<String> mTeams = new RecentCounts<>();
    private final SteadyShare mSteady;

    ShareAllocation(long now) {
        mSteady = new SteadyShare(now);
    }

    void onArrived(AdmissionRequest r, double meanShare, long now) {
        mSteady.update(meanShare, now);
        mPriorities.onArrived(r.priority(), now);
        mTeams.onArrived(r.team(), now);
    }

    void onBegun(AdmissionRequest r, long now) {
        mPriorities.onBegun(r.priority(), now);
        mTeams.onBegun(r.team(), now);
    }

    /** Returns whether the request's priority or team has received less than its minimum. */
    boolean isBelowMinimum(AdmissionRequest r, double meanShare, long now) {
        return isBelowMinimum(mPriorities, r.priority(), meanShare, now)
                || isBelowMinimum(mTeams, r.team(), meanShare, now);
    }

    private static <K> boolean isBelowMinimum(
            RecentCounts<K> counts, K key, double meanShare, long now) {
        double begun = counts.begun(key, now) + PRIOR_REQUESTS * meanShare;
        double arrived = counts.arrived(key, now) + PRIOR_REQUESTS;
        return begun < MIN_FRACTION * meanShare * arrived;
    }

    /**
     * Returns the share of a priority's requests to begin. A priority that is hardly restricted on
     * the average of the last seconds is not restricted by fluctuations; lower ones bear them.
     */
    double share(int priority, double meanShare, long now) {
        Map<Integer, Double> arrived = new TreeMap<>();
        for (int p : mPriorities.keys()) {
            arrived.put(p, mPriorities.arrived(p, now));
        }
        boolean lowest = arrived.keySet().stream().allMatch(p -> p <= priority);
        if (!lowest
                && mSteady.isFluctuation(meanShare)
                && allocate(arrived, priority, mSteady.mean()) >= UNAFFECTED_SHARE) {
            return 1;
        }
        return allocate(arrived, priority, meanShare);
    }

    private static double allocate(Map<Integer, Double> arrived, int priority, double meanShare) {
        double minimum = MIN_FRACTION * meanShare;
        double total = arrived.values().stream().mapToDouble(a -> a).sum();
        double spare = (meanShare - minimum) * total;
        for (Map.Entry<Integer, Double> e : arrived.entrySet()) {
            double extra = Math.min(spare, (1 - minimum) * e.getValue());
            if (e.getKey() == priority) {
                return minimum + extra / Math.max(Double.MIN_NORMAL, e.getValue());
            }
            spare -= extra;
        }
        return meanShare;
    }
}
