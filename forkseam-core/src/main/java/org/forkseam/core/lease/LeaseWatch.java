package org.forkseam.core.lease;

import java.util.Optional;

/**
 * Decides for one daemon and one lease when to renew, when to take over and whether it may act.
 *
 * <p>A holder believes itself only for two thirds of the lease's time since it sent its last
 * renewal that took effect. Others take over when they have watched the row unchanged for the whole
 * time by their own clock. A holder that was paused may still act on a lease that has passed on:
 * its fence is then old, and whoever receives its orders drops them. Not thread-safe.
 *
 * @since 0.1
 */
public final class LeaseWatch {
    /** Tells the caller what to write, if anything. */
    public enum Step {
        /** Nothing is to be written. */
        WAIT,
        /** Insert {@link #next()} if the row is absent. */
        INSERT,
        /** Replace the row of the revision seen by {@link #next()}. */
        REPLACE
    }

    private final String mHost;
    private final long mTtlMillis;
    private long mSeenRevision = -1;
    private long mSeenAtMillis;
    private LeaseRow mNext;
    private long mSentAtMillis;
    private long mFence;
    private long mHeldSinceMillis = Long.MIN_VALUE;

    private LeaseWatch(String host, long ttlMillis) {
        mHost = host;
        mTtlMillis = ttlMillis;
    }

    /** Creates the watch of one daemon over one lease. */
    public static LeaseWatch of(String host, long ttlMillis) {
        return new LeaseWatch(host, ttlMillis);
    }

    /** Takes in the row as it was read, and says what to write. */
    public Step onRead(Optional<LeaseRow> row, long revision, long nowMillis) {
        if (revision != mSeenRevision) {
            mSeenRevision = revision;
            mSeenAtMillis = nowMillis;
        }
        mSentAtMillis = nowMillis;
        if (row.isEmpty()) {
            mNext = new LeaseRow(mHost, 1, 0);
            return Step.INSERT;
        }
        LeaseRow r = row.get();
        boolean own = r.holder().equals(mHost) && r.fence() == mFence;
        if (own) {
            mNext = r.renewed();
            return Step.REPLACE;
        }
        mHeldSinceMillis = Long.MIN_VALUE;
        if (nowMillis - mSeenAtMillis < mTtlMillis) {
            return Step.WAIT;
        }
        mNext = new LeaseRow(mHost, r.fence() + 1, 0);
        return Step.REPLACE;
    }

    /** Returns the row to write. */
    public LeaseRow next() {
        return mNext;
    }

    /**
     * Takes in that the write took effect. An unknown result is not reported: the next read tells.
     */
    public void onWritten(long revision) {
        mFence = mNext.fence();
        mSeenRevision = revision;
        mHeldSinceMillis = mSentAtMillis;
    }

    /** Returns the fence if this daemon may act as the holder now. */
    public Optional<Long> fence(long nowMillis) {
        boolean held =
                mHeldSinceMillis != Long.MIN_VALUE
                        && nowMillis - mHeldSinceMillis < mTtlMillis * 2 / 3;
        return held ? Optional.of(mFence) : Optional.empty();
    }
}
