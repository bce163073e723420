package org.forkseam.core.outcome;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Estimates a quantile of durations from the newest samples. Samples expire, so that an estimate
 * from a burst does not outlast it. Not thread-safe.
 *
 * @since 0.8
 */
public final class RecentQuantile {
    /** Number of samples kept; the 90th percentile is then determined by the six slowest. */
    private static final int SAMPLES = 64;

    /** Number of samples below which there is no estimate: fewer have no 90th percentile. */
    private static final int MIN_SAMPLES = 10;

    /** Age at which samples expire. */
    private static final long TTL_MILLIS = 10_000;

    private final double mQuantile;
    private final long[] mMillis = new long[SAMPLES];
    private final long[] mAddedAt = new long[SAMPLES];
    private long mCount;
    private boolean mChanged;
    private OptionalLong mValue = OptionalLong.empty();
    private long mValidUntil = Long.MAX_VALUE;

    private RecentQuantile(double quantile) {
        mQuantile = quantile;
    }

    /**
     * Creates an estimator without samples.
     *
     * @param quantile share of the samples that are not above the estimate
     */
    public static RecentQuantile of(double quantile) {
        return new RecentQuantile(quantile);
    }

    /** Adds a sample. */
    public void add(long millis, long nowMillis) {
        int index = (int) (mCount % SAMPLES);
        mMillis[index] = millis;
        mAddedAt[index] = nowMillis;
        mCount++;
        mChanged = true;
    }

    /** Returns the estimate; empty while there are too few recent samples. */
    public OptionalLong millis(long nowMillis) {
        if (mChanged || nowMillis > mValidUntil) {
            update(nowMillis);
        }
        return mValue;
    }

    private void update(long now) {
        int kept = (int) Math.min(mCount, SAMPLES);
        long[] recent = new long[kept];
        int n = 0;
        mValidUntil = Long.MAX_VALUE;
        for (int i = 0; i < kept; i++) {
            if (now - mAddedAt[i] <= TTL_MILLIS) {
                recent[n++] = mMillis[i];
                mValidUntil = Math.min(mValidUntil, mAddedAt[i] + TTL_MILLIS);
            }
        }
        Arrays.sort(recent, 0, n);
        mValue =
                n < MIN_SAMPLES
                        ? OptionalLong.empty()
                        : OptionalLong.of(recent[(int) Math.ceil(mQuantile * n) - 1]);
        mChanged = false;
    }
}
