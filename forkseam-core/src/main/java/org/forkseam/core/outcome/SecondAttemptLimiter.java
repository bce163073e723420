package org.forkseam.core.outcome;

import java.util.Arrays;

/**
 * Limits second attempts that are made because of missing data to a share of the requests of the
 * last two seconds. A router with fewer requests may make one per {@link #REQUESTS_PER_ATTEMPT}
 * requests, however long these take. Not thread-safe.
 *
 * @since 0.8
 */
public final class SecondAttemptLimiter {
    /**
     * Requests per second attempt. Second attempts thus take at most a twentieth of the pool's
     * capacity.
     */
    private static final long REQUESTS_PER_ATTEMPT = 20;

    private static final long BUCKET_MILLIS = 100;

    /** Buckets that make up two seconds. */
    private static final int WINDOW_BUCKETS = 20;

    /** Attempts are counted for one bucket longer, since the current one is partly filled. */
    private static final int BUCKETS = WINDOW_BUCKETS + 1;

    private final long[] mRequests = new long[BUCKETS];
    private final long[] mAttempts = new long[BUCKETS];
    private long mBucket = Long.MIN_VALUE;
    private long mRequestsSinceAttempt;

    private SecondAttemptLimiter() {}

    /** Creates a limiter without history, which allows no attempt yet. */
    public static SecondAttemptLimiter create() {
        return new SecondAttemptLimiter();
    }

    /** Records a request from a caller. */
    public void onRequest(long nowMillis) {
        advance(nowMillis);
        mRequests[index(mBucket)]++;
        mRequestsSinceAttempt++;
    }

    /** Records a second attempt. */
    public void onSecondAttempt(long nowMillis) {
        advance(nowMillis);
        mAttempts[index(mBucket)]++;
        mRequestsSinceAttempt = 0;
    }

    /** Returns whether the limit allows another attempt. */
    public boolean allows(long nowMillis) {
        advance(nowMillis);
        long attempts = Arrays.stream(mAttempts).sum();
        long oldest = mRequests[index(mBucket + 1)];
        long requests = Arrays.stream(mRequests).sum() - oldest;
        return (attempts + 1) * REQUESTS_PER_ATTEMPT <= Math.max(requests, mRequestsSinceAttempt);
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }

    private void advance(long nowMillis) {
        long bucket = nowMillis / BUCKET_MILLIS;
        if (mBucket == Long.MIN_VALUE || bucket - mBucket > BUCKETS) {
            Arrays.fill(mRequests, 0);
            Arrays.fill(mAttempts, 0);
            mBucket = bucket;
        }
        while (mBucket < bucket) {
            mBucket++;
            mRequests[index(mBucket)] = 0;
            mAttempts[index(mBucket)] = 0;
        }
    }
}
