package org.forkseam.core.outcome;

import java.util.function.DoubleSupplier;

/**
 * Limits retries to a share of the requests in a sliding window plus a fixed allowance.
 *
 * <p>Each router has its own budget and a part of the allowance, so the total over all routers is
 * bounded without coordination. Not thread-safe.
 *
 * @since 0.2
 */
public final class SlidingWindowRetryBudget {
    private static final int BUCKETS = 20;

    private final DoubleSupplier mShare;
    private final DoubleSupplier mAllowance;
    private final long mBucketMillis;
    private final long[] mRequests = new long[BUCKETS];
    private final long[] mRetries = new long[BUCKETS];
    private long mBucket = Long.MIN_VALUE;

    /**
     * What a budget allows at a moment, for logs and dumps.
     *
     * @param requests requests in the window
     * @param retries retries in the window
     * @param allowance retries allowed in addition to the share of the requests
     * @param remaining retries left
     */
    public record Usage(long requests, long retries, double allowance, double remaining) {}

    private SlidingWindowRetryBudget(
            DoubleSupplier share, DoubleSupplier allowance, long windowMillis) {
        mShare = share;
        mAllowance = allowance;
        // The current bucket is only partly filled, so the others must span the window.
        mBucketMillis = Math.max(1, (windowMillis + BUCKETS - 2) / (BUCKETS - 1));
    }

    /**
     * Creates a budget.
     *
     * @param share retries allowed per request in a window
     * @param allowance additional retries allowed in a window
     * @param windowMillis length of the window
     */
    public static SlidingWindowRetryBudget of(double share, double allowance, long windowMillis) {
        return new SlidingWindowRetryBudget(() -> share, () -> allowance, windowMillis);
    }

    /** Creates a budget whose share and allowance may change, e.g. with the number of routers. */
    public static SlidingWindowRetryBudget of(
            DoubleSupplier share, DoubleSupplier allowance, long windowMillis) {
        return new SlidingWindowRetryBudget(share, allowance, windowMillis);
    }

    /** Records a request from a caller. */
    public void onRequest(long nowMillis) {
        mRequests[advance(nowMillis)]++;
    }

    /** Takes one retry, or returns false if none is left in this window. */
    public boolean tryRetry(long nowMillis) {
        int index = advance(nowMillis);
        if (remaining() < 1) {
            return false;
        }
        mRetries[index]++;
        return true;
    }

    /** Returns the retries left. */
    public double remaining(long nowMillis) {
        advance(nowMillis);
        return remaining();
    }

    /** Returns what the budget allows and what was used of it. */
    public Usage usage(long nowMillis) {
        advance(nowMillis);
        return new Usage(sum(mRequests), sum(mRetries), mAllowance.getAsDouble(), remaining());
    }

    private double remaining() {
        return mShare.getAsDouble() * sum(mRequests) + mAllowance.getAsDouble() - sum(mRetries);
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long n : counts) {
            sum += n;
        }
        return sum;
    }

    private int advance(long nowMillis) {
        long bucket = nowMillis / mBucketMillis;
        if (mBucket == Long.MIN_VALUE || bucket - mBucket > BUCKETS) {
            mBucket = bucket - BUCKETS;
        }
        while (mBucket < bucket) {
            mBucket++;
            int i = (int) Math.floorMod(mBucket, BUCKETS);
            mRequests[i] = 0;
            mRetries[i] = 0;
        }
        return (int) Math.floorMod(bucket, BUCKETS);
    }
}
