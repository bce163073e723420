package org.forkseam.core.outcome;

/**
 * Limits retries to a fraction of recent requests, so that retries do not overload a failing pool.
 *
 * <p>Each first attempt adds a fraction of a token and each retry takes one token. Not thread-safe.
 *
 * @since 0.1
 */
public final class RetryBudget {
    /** Retries allowed per first attempt on average. */
    public static final double DEFAULT_SHARE = 0.2;

    /** Maximum burst of retries. */
    public static final double DEFAULT_RESERVE = 20;

    private final double mShare;
    private final double mReserve;
    private double mTokens;

    private RetryBudget(double share, double reserve) {
        mShare = share;
        mReserve = reserve;
        mTokens = reserve;
    }

    /** Creates a budget with a share of retries per request and a maximum burst. */
    public static RetryBudget of(double share, double reserve) {
        return new RetryBudget(share, reserve);
    }

    /** Records a first attempt. */
    public void onRequest() {
        mTokens = Math.min(mReserve, mTokens + mShare);
    }

    /** Takes one retry from the budget, or returns false if it is exhausted. */
    public boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Returns the available retries. */
    public double tokens() {
        return mTokens;
    }
}
