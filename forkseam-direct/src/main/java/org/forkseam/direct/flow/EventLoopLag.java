package org.forkseam.direct.flow;

/** Measures the scheduling delay of event loop ticks to detect overload. Used on the event loop. */
final class EventLoopLag {
    /** Smoothed lag above which the loop counts as overloaded. */
    private static final double OVERLOADED_MILLIS = 6;

    /** Weight of the newest sample in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.4;

    private final long mPeriodMillis;
    private long mLastTick;
    private double mLagMillis;

    /**
     * Creates a measurement that starts as overloaded until ticks are on time.
     *
     * @param periodMillis interval between two ticks
     */
    EventLoopLag(long periodMillis, long nowMillis) {
        mPeriodMillis = periodMillis;
        mLastTick = nowMillis;
        mLagMillis = 2 * OVERLOADED_MILLIS;
    }

    /**
     * Records a tick, which was due one period after the last.
     *
     * @return how late it was, in milliseconds
     */
    long onTick(long nowMillis) {
        long lag = Math.abs(nowMillis - mLastTick - mPeriodMillis);
        mLastTick = nowMillis;
        mLagMillis += SMOOTHING_FACTOR * (lag - mLagMillis);
        return lag;
    }

    /** Returns whether the event loop is overloaded. */
    boolean isOverloaded() {
        return mLagMillis > OVERLOADED_MILLIS;
    }

    /** Returns the smoothed tick delay. */
    double lagMillis() {
        return mLagMillis;
    }
}
