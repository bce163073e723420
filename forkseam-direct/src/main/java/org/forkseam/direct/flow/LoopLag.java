package org.forkseam.direct.flow;

/**
 * Watches how late the ticks of the event loop come: a loop with time to spare is punctual. Used on
 * the event loop.
 */
final class LoopLag {
    /** Lateness, smoothed, from which on the loop is taken to be behind. Unit: milliseconds. */
    private static final double BEHIND_MILLIS = 6;

    /** Weight of the newest tick: about three ticks decide. */
    private static final double NEWEST = 0.4;

    private final long mPeriodMillis;
    private long mLastTick;
    private double mLateness;

    /**
     * Creates a watch. A router that starts is behind until its ticks say otherwise.
     *
     * @param periodMillis pause between two ticks
     */
    LoopLag(long periodMillis, long nowMillis) {
        mPeriodMillis = periodMillis;
        mLastTick = nowMillis;
        mLateness = 2 * BEHIND_MILLIS;
    }

    /** Notes a tick, which was due one period after the last. */
    void onTick(long nowMillis) {
        long late = Math.abs(nowMillis - mLastTick - mPeriodMillis);
        mLastTick = nowMillis;
        mLateness += NEWEST * (late - mLateness);
    }

    /** Returns whether the loop has more to do than it gets done. */
    boolean isBehind() {
        return mLateness > BEHIND_MILLIS;
    }

    /** Returns by how much ticks come late, smoothed, in milliseconds. */
    double latenessMillis() {
        return mLateness;
    }
}
