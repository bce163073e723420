package org.forkseam.core.outcome;

/**
 * Estimates after which delay a refused caller should retry at a pool: the time the pool needs to
 * serve the recently refused requests at its current rate.
 *
 * <p>Both rates are exponentially decaying counts. The delay is short if the pool refuses
 * occasionally, and grows with the number of refusals if it serves nothing. Not thread-safe.
 *
 * @since 0.3
 */
public final class RetryDelayEstimator {
    /** Time constant of the decay. */
    private static final double DECAY_MILLIS = 1_000;

    /** Lower bound of the delay; an earlier retry would find the pool unchanged. */
    private static final long MIN_DELAY_MILLIS = 100;

    /** Upper bound of the delay, so that callers return soon after a short outage. */
    private static final long MAX_DELAY_MILLIS = 2_000;

    private double mServed;
    private double mRefused;
    private long mUpdatedAt;

    private RetryDelayEstimator(long nowMillis) {
        mUpdatedAt = nowMillis;
    }

    /** Creates an estimator without history. */
    public static RetryDelayEstimator startingAt(long nowMillis) {
        return new RetryDelayEstimator(nowMillis);
    }

    /** Records a request that the pool answered. */
    public void onServed(long nowMillis) {
        decay(nowMillis);
        mServed++;
    }

    /** Records a refused request and returns the retry delay in milliseconds. */
    public long onRefused(long nowMillis) {
        decay(nowMillis);
        mRefused++;
        long delay = (long) (DECAY_MILLIS * mRefused / Math.max(1, mServed));
        return Math.max(MIN_DELAY_MILLIS, Math.min(MAX_DELAY_MILLIS, delay));
    }

    private void decay(long nowMillis) {
        double factor = Math.exp((mUpdatedAt - nowMillis) / DECAY_MILLIS);
        mServed *= factor;
        mRefused *= factor;
        mUpdatedAt = nowMillis;
    }
}
