package org.forkseam.core.load;

/**
 * Estimates by which factor work at a target currently takes longer than usual: the newest reading,
 * until it expires.
 *
 * <p>An exponential average of the readings is less accurate: a target's slowdown changes in steps
 * while the readings are exact, so that averaging only adds delay. {@code SlowdownEstimateTest}
 * compares both. Not thread-safe.
 *
 * @since 0.8
 */
public final class SlowdownEstimate {
    /**
     * Age from which a reading is ignored. Slowness moves between targets about every 600 ms, so
     * that an older reading says nothing about the present.
     */
    private static final long READING_TTL_MILLIS = 600;

    private static final double PERCENT = 100;
    private static final double USUAL_FACTOR = 1;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private double mFactor = USUAL_FACTOR;
    private long mReportedAt = NEVER;

    private SlowdownEstimate() {}

    /** Creates an estimate without readings. */
    public static SlowdownEstimate create() {
        return new SlowdownEstimate();
    }

    /** Records a reading unless a newer one is known. */
    public void onReported(int slowdownPercent, long reportedAtMillis) {
        if (reportedAtMillis < mReportedAt) {
            return;
        }
        mFactor = slowdownPercent / PERCENT;
        mReportedAt = reportedAtMillis;
    }

    /** Returns the factor; 1 if there is no recent reading. */
    public double factor(long nowMillis) {
        return nowMillis - mReportedAt < READING_TTL_MILLIS ? mFactor : USUAL_FACTOR;
    }
}
