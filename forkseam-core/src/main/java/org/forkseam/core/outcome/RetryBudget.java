package org.forkseam.core.outcome;

/**
 * Bounds retries to a share of recent requests, so that a failing pool is not hit harder.
 *
 * <p>Each first attempt deposits a share of a token, each retry takes a whole one. Not thread-safe.
 *
 * @since 0.1
 */
public final class RetryBudget {
    /** Retries allowed per first attempt in the long run. */
    public static final double DEFAULT_SHARE = 0.2;

    /** Retries that may come at once after a quiet time. */
    public static final double DEFAULT_RESERVE = 20;

    private final double mShare;
    private final double mReserve;
    private double mTokens;

    private RetryBudget(double share, double reserve) {
        mShare = share;
        mReserve = reserve;
        mTokens = reserve;
    }

    /** Creates a budget with a share of requests and a reserve of retries. */
    public static RetryBudget of(double share, double reserve) {
        return new RetryBudget(share, reserve);
    }

    /** Notes a first attempt. */
    public void onRequest() {
        mTokens = Math.min(mReserve, mTokens + mShare);
    }

    /** Takes one retry from the budget, or returns false if there is none left. */
    public boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Returns the retries left. */
    public double tokens() {
        return mTokens;
    }
}
