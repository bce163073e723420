package org.forkseam.direct.flow;

/**
 * Arrival time of a request at this host. Used on the event loop.
 *
 * <p>Normally this is the time when the request was read. Requests read after an event loop stall
 * arrived at unknown times during the stall; their times are estimated by spreading them evenly
 * over it in read order.
 */
final class Arrival {
    private final ReadStall mStall;
    private final int mIndex;
    private final long mMillis;

    private Arrival(ReadStall stall, int index, long millis) {
        mStall = stall;
        mIndex = index;
        mMillis = millis;
    }

    /** Creates an arrival at a known time. */
    static Arrival at(long millis) {
        return new Arrival(null, 0, millis);
    }

    /** Returns the arrival time in the clock's milliseconds; an estimate after a stall. */
    long millis() {
        return mStall == null ? mMillis : mStall.millis(mIndex);
    }

    /**
     * Returns whether the request waited unread during a stall, so that its caller may have
     * disconnected.
     */
    boolean wasDelayed() {
        return mStall != null;
    }

    /** A period in which the router read nothing. */
    static final class ReadStall {
        private final long mFrom;
        private final long mTo;
        private int mCount;

        ReadStall(long from, long to) {
            mFrom = from;
            mTo = to;
        }

        /** Adds an arrival to this stall. */
        Arrival nextArrival() {
            return new Arrival(this, mCount++, mTo);
        }

        private long millis(int index) {
            return mFrom + (mTo - mFrom) * (2L * index + 1) / (2L * mCount);
        }
    }
}
