package org.forkseam.core.outcome;

import java.util.OptionalLong;

/**
 * The greatest of the values of the last one to two windows. Not thread-safe.
 *
 * @since 0.13
 */
public final class RecentMaximum {
    private final long mWindowMillis;
    private long mWindowStart = Long.MIN_VALUE / 2;
    private long mCurrent = Long.MIN_VALUE;
    private long mPrevious = Long.MIN_VALUE;

    private RecentMaximum(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    /** Creates an empty maximum. */
    public static RecentMaximum of(long windowMillis) {
        return new RecentMaximum(windowMillis);
    }

    /** Adds a value. */
    public void add(long value, long nowMillis) {
        roll(nowMillis);
        mCurrent = Math.max(mCurrent, value);
    }

    /** Returns the maximum, empty if no value is recent. */
    public OptionalLong get(long nowMillis) {
        roll(nowMillis);
        long max = Math.max(mCurrent, mPrevious);
        return max == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(max);
    }

    private void roll(long now) {
        if (now - mWindowStart < mWindowMillis) {
            return;
        }
        boolean adjacent = now - mWindowStart < 2 * mWindowMillis;
        mPrevious = adjacent ? mCurrent : Long.MIN_VALUE;
        mCurrent = Long.MIN_VALUE;
        mWindowStart = now;
    }
}
