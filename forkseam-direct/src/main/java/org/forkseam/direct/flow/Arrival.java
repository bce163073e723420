package org.forkseam.direct.flow;

/**
 * Says when a request reached this host, as far as is known. Used on the event loop.
 *
 * <p>What is read by a router that keeps up has come just now. What is read by one that was held up
 * came somewhere in the time that it did not look: such arrivals are spread evenly over that time
 * in the order in which they are read, which is the order in which they came.
 */
final class Arrival {
    private final ReadStall mStall;
    private final int mIndex;
    private final long mMillis;

    private Arrival(ReadStall gap, int index, long millis) {
        mStall = gap;
        mIndex = index;
        mMillis = millis;
    }

    /** Creates the arrival of something that has come just now. */
    static Arrival at(long millis) {
        return new Arrival(null, 0, millis);
    }

    /** Returns when it came, in the clock's milliseconds; an estimate if it has waited unread. */
    long millis() {
        return mStall == null ? mMillis : mStall.millis(mIndex);
    }

    /** Returns whether it has waited unread, so that its sender may have left meanwhile. */
    boolean wasDelayed() {
        return mStall != null;
    }

    /** Is a time in which the router read nothing. */
    static final class ReadStall {
        private final long mFrom;
        private final long mTo;
        private int mCount;

        ReadStall(long from, long to) {
            mFrom = from;
            mTo = to;
        }

        /** Creates the next arrival of those that came in this time. */
        Arrival nextArrival() {
            return new Arrival(this, mCount++, mTo);
        }

        private long millis(int index) {
            return mFrom + (mTo - mFrom) * (2L * index + 1) / (2L * mCount);
        }
    }
}
