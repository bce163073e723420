package org.forkseam.core.outcome;

import java.util.Arrays;
import java.util.function.DoubleSupplier;

/**
 * Limits retries to a share of the requests plus a fixed allowance.
 *
 * <p>In each span of time up to the length of the window, retries do not exceed the share of the
 * requests of that span and of the window before it, plus the allowance. Unlike a limit on the last
 * window alone, this holds for the sum over routers in the same span even if requests move between
 * them. A new budget counts no earlier requests, so that one that is lost and created again takes
 * nothing twice. Not thread-safe.
 *
 * @since 0.2
 */
public final class SlidingWindowRetryBudget {
    /** Buckets that make up a window. */
    private static final int WINDOW_BUCKETS = 20;

    /** Buckets in which retries are counted: a window and the current, partly filled bucket. */
    private static final int RETRY_BUCKETS = WINDOW_BUCKETS + 1;

    /**
     * Buckets before a span whose requests count for it. The span may begin anywhere in its first
     * bucket, so that one bucket less than a window surely lies within the window before it.
     */
    private static final int EARLIER_BUCKETS = WINDOW_BUCKETS - 1;

    private static final int BUCKETS = RETRY_BUCKETS + EARLIER_BUCKETS;

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
        mBucketMillis = Math.max(1, (windowMillis + WINDOW_BUCKETS - 1) / WINDOW_BUCKETS);
    }

    /**
     * Creates a budget.
     *
     * @param share retries allowed per request of a window and of the one before it
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
        advance(nowMillis);
        mRequests[index(0)]++;
    }

    /** Takes one retry, or returns false if none is left. */
    public boolean tryRetry(long nowMillis) {
        if (remaining(nowMillis) < 1) {
            return false;
        }
        mRetries[index(0)]++;
        return true;
    }

    /** Returns the retries left. */
    public double remaining(long nowMillis) {
        advance(nowMillis);
        double share = mShare.getAsDouble();
        double allowance = mAllowance.getAsDouble();
        long requests = sumOfLast(EARLIER_BUCKETS, mRequests);
        long retries = 0;
        double remaining = Double.MAX_VALUE;
        for (int age = 0; age < RETRY_BUCKETS; age++) {
            retries += mRetries[index(age)];
            requests += mRequests[index(age + EARLIER_BUCKETS)];
            remaining = Math.min(remaining, share * requests + allowance - retries);
        }
        return remaining;
    }

    /** Returns what the budget allows and what was used of it. */
    public Usage usage(long nowMillis) {
        double remaining = remaining(nowMillis);
        return new Usage(
                sumOfLast(RETRY_BUCKETS, mRequests),
                sumOfLast(RETRY_BUCKETS, mRetries),
                mAllowance.getAsDouble(),
                remaining);
    }

    private long sumOfLast(int buckets, long[] counts) {
        long sum = 0;
        for (int age = 0; age < buckets; age++) {
            sum += counts[index(age)];
        }
        return sum;
    }

    /** Returns the index of a bucket by its age; the current bucket has age 0. */
    private int index(int age) {
        return (int) Math.floorMod(mBucket - age, BUCKETS);
    }

    private void advance(long nowMillis) {
        long bucket = nowMillis / mBucketMillis;
        if (mBucket == Long.MIN_VALUE || bucket - mBucket > BUCKETS) {
            Arrays.fill(mRequests, 0);
            Arrays.fill(mRetries, 0);
            mBucket = bucket;
        }
        while (mBucket < bucket) {
            mBucket++;
            mRequests[index(0)] = 0;
            mRetries[index(0)] = 0;
        }
    }
}
