package org.forkseam.core.admit;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates for each priority which fraction of the latency objective an answer takes without
 * waiting: the lowest tenth of recent answers. Not thread-safe.
 */
final class UsualLatency {
    /**
     * Bounds of the estimate. The upper one, at which it starts, leaves a range in which waiting
     * shows before answers are late.
     */
    private static final double MIN_FRACTION = 0.3;

    private static final double MAX_FRACTION = 0.6;

    /** Increase per millisecond while answers take longer than the estimate. */
    private static final double INCREASE = 0.00005;

    /**
     * Decrease per millisecond while they do not; nine times the increase, for the lowest tenth.
     */
    private static final double DECREASE = 9 * INCREASE;

    /** Limit of the time for which one answer counts, so that rare answers do not outweigh. */
    private static final long MAX_ELAPSED_MILLIS = 1_000;

    private final Map<Integer, Estimate> mByPriority = new HashMap<>();

    /** Estimate with the time of its last update. */
    private static final class Estimate {
        private double mFraction = MAX_FRACTION;
        private long mUpdatedAt;
    }

    void onAnswered(int priority, double fraction, long now) {
        Estimate e = mByPriority.computeIfAbsent(priority, p -> new Estimate());
        long elapsed = Math.min(MAX_ELAPSED_MILLIS, Math.max(0, now - e.mUpdatedAt));
        double change = fraction > e.mFraction ? INCREASE * elapsed : -DECREASE * elapsed;
        e.mFraction = Math.max(MIN_FRACTION, Math.min(MAX_FRACTION, e.mFraction + change));
        e.mUpdatedAt = now;
    }

    double fraction(int priority) {
        Estimate e = mByPriority.get(priority);
        return e == null ? MAX_FRACTION : e.mFraction;
    }
}
