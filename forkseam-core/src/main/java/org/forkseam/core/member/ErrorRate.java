package org.forkseam.core.member;

/**
 * Tracks the error rate of a target or pool as an exponentially weighted moving average. Not
 * thread-safe.
 *
 * @since 0.3
 */
public final class ErrorRate {
    /** Weight of the latest request; about ten requests determine the average. */
    private static final double SMOOTHING_FACTOR = 0.15;

    /**
     * Ratio to the pool's error rate from which a target is an outlier. If all targets of a pool
     * fail alike, ejecting some only moves prompts away from their cached prefixes: on a day on
     * which all engines failed part of their requests for four seconds, 1.1 million tokens were
     * prefilled again.
     */
    private static final double OUTLIER_RATIO = 2;

    private double mRate;

    /** Records the result of a request. */
    public void addResult(boolean failed) {
        mRate += SMOOTHING_FACTOR * ((failed ? 1 : 0) - mRate);
    }

    /** Returns the current error rate, between 0 and 1. */
    public double rate() {
        return mRate;
    }

    /** Returns whether this error rate is far above that of the pool. */
    public boolean isOutlierIn(ErrorRate pool) {
        return mRate >= OUTLIER_RATIO * pool.mRate;
    }
}
