package org.forkseam.direct.flow;

/**
 * Watches how late the ticks of the event loop come: a loop with time to spare is punctual. Used on
 * the event loop.
 */
final class EventLoopLag {
    /** Lateness, smoothed, from which on the loop is taken to be behind. Unit: milliseconds. */
    private static final double OVERLOADED_MILLIS = 6;

    /** Weight of the newest tick: about three ticks decide. */
    private static final double SMOOTHING_FACTOR = 0.4;

    private final long mPeriodMillis;
    private long mLastTick;
    private double mLagMillis;

    /**
     * Creates a watch. A router that starts is behind until its ticks say otherwise.
     *
     * @param periodMillis pause between two ticks
     */
    EventLoopLag(long periodMillis, long nowMillis) {
        mPeriodMillis = periodMillis;
        mLastTick = nowMillis;
        mLagMillis = 2 * OVERLOADED_MILLIS;
    }

    /** Notes a tick, which was due one period after the last. */
    void onTick(long nowMillis) {
        long late = Math.abs(nowMillis - mLastTick - mPeriodMillis);
        mLastTick = nowMillis;
        mLagMillis += SMOOTHING_FACTOR * (late - mLagMillis);
    }

    /** Returns whether the loop has more to do than it gets done. */
    boolean isOverloaded() {
        return mLagMillis > OVERLOADED_MILLIS;
    }

    /** Returns by how much ticks come late, smoothed, in milliseconds. */
    double lagMillis() {
        return mLagMillis;
    }
}
