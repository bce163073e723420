package org.forkseam.direct.flow;

import org.forkseam.core.util.Clock;

/**
 * Notes when requests come, and notices turns of the event loop that come late: after a start, a
 * freeze, or on a host that cannot keep up. Used on the event loop.
 */
final class ArrivalTracker {
    /** The loop turns at least so often, since its ticks are no rarer. */
    static final long ITERATION_MILLIS = 40;

    /** A turn that comes so much later than usual finds what has waited. Unit: milliseconds. */
    private static final long STALL_TOLERANCE_MILLIS = 60;

    private final Clock mClock;
    private Arrival.ReadStall mStall;
    private long mLastIteration;

    /**
     * Creates the notes.
     *
     * @param openedMillis since when callers can connect
     */
    ArrivalTracker(Clock clock, long openedMillis) {
        mClock = clock;
        mLastIteration = openedMillis;
    }

    /** Notes that something is being read, and returns when it came. */
    Arrival next() {
        long now = mClock.nowMillis();
        if (mStall == null && now - mLastIteration > ITERATION_MILLIS + STALL_TOLERANCE_MILLIS) {
            mStall = new Arrival.ReadStall(mLastIteration, now);
        }
        return mStall == null ? Arrival.at(now) : mStall.nextArrival();
    }

    /** Notes that the loop has read everything that was there. */
    void onReadsDrained() {
        mLastIteration = mClock.nowMillis();
        mStall = null;
    }
}
