package org.forkseam.direct.flow;

import org.forkseam.core.util.Clock;

/**
 * Notes when requests come, and notices turns of the event loop that come late: after a start, a
 * freeze, or on a host that cannot keep up. Used on the event loop.
 */
final class Arrivals {
    /** The loop turns at least so often, since its ticks are no rarer. */
    static final long TURN_MILLIS = 40;

    /** A turn that comes so much later than usual finds what has waited. Unit: milliseconds. */
    private static final long SLACK_MILLIS = 60;

    private final Clock mClock;
    private Arrival.Gap mGap;
    private long mLastTurn;

    /**
     * Creates the notes.
     *
     * @param openedMillis since when callers can connect
     */
    Arrivals(Clock clock, long openedMillis) {
        mClock = clock;
        mLastTurn = openedMillis;
    }

    /** Notes that something is being read, and returns when it came. */
    Arrival next() {
        long now = mClock.nowMillis();
        if (mGap == null && now - mLastTurn > TURN_MILLIS + SLACK_MILLIS) {
            mGap = new Arrival.Gap(mLastTurn, now);
        }
        return mGap == null ? Arrival.at(now) : mGap.next();
    }

    /** Notes that the loop has read everything that was there. */
    void onTurn() {
        mLastTurn = mClock.nowMillis();
        mGap = null;
    }
}
