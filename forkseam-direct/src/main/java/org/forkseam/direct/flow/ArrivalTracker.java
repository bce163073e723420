package org.forkseam.direct.flow;

import org.forkseam.core.util.Clock;

/**
 * Determines arrival times and detects event loop stalls: a late loop iteration after a start, a
 * process freeze or on an overloaded host. Used on the event loop.
 */
final class ArrivalTracker {
    /** Longest regular interval between loop iterations, given by the tick period. */
    static final long ITERATION_MILLIS = 40;

    /** Delay beyond the regular interval that counts as a stall. */
    private static final long STALL_TOLERANCE_MILLIS = 60;

    private final Clock mClock;
    private Arrival.ReadStall mStall;
    private long mLastIteration;

    /**
     * Creates a tracker.
     *
     * @param openedMillis the time since which callers can connect
     */
    ArrivalTracker(Clock clock, long openedMillis) {
        mClock = clock;
        mLastIteration = openedMillis;
    }

    /** Returns the arrival of the request or connection being read. */
    Arrival next() {
        long now = mClock.nowMillis();
        if (mStall == null && isLate(now)) {
            mStall = new Arrival.ReadStall(mLastIteration, now);
        }
        return mStall == null ? Arrival.at(now) : mStall.nextArrival();
    }

    /** Returns whether input that arrived during a stall may wait unread. */
    boolean isStalled() {
        return mStall != null || isLate(mClock.nowMillis());
    }

    private boolean isLate(long now) {
        return now - mLastIteration > ITERATION_MILLIS + STALL_TOLERANCE_MILLIS;
    }

    /** Ends the current stall after all pending input has been read. */
    void onReadsDrained() {
        mLastIteration = mClock.nowMillis();
        mStall = null;
    }
}
