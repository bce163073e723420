package org.forkseam.core.member;

/**
 * Follows the share of requests that fail, weighted toward the latest. Not thread-safe.
 *
 * @since 0.3
 */
public final class ErrorRate {
    /** Weight of the latest request: some ten requests decide. */
    private static final double LATEST = 0.15;

    /**
     * How many times its pool's rate a target's must be to speak against the target. When all of a
     * pool fail alike, taking some out helps nobody and moves prompts away from where they are
     * kept: on a day on which all engines failed part of their requests for four seconds, it had
     * 1.1 million tokens read again.
     */
    private static final double STANDS_OUT = 2;

    private double mRate;

    /** Notes how a request ended. */
    public void note(boolean failed) {
        mRate += LATEST * ((failed ? 1 : 0) - mRate);
    }

    /** Returns the share that fails. */
    public double rate() {
        return mRate;
    }

    /** Returns whether this rate is far above that of the pool. */
    public boolean standsOutOf(ErrorRate pool) {
        return mRate >= STANDS_OUT * pool.mRate;
    }
}
