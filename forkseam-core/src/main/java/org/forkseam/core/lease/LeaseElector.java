package org.forkseam.core.lease;

import java.util.Optional;

/**
 * Leader election for one daemon and one lease: decides when to renew or take over the lease and
 * whether the daemon may act as the holder.
 *
 * <p>A holder acts only until two thirds of the TTL after it sent its last successful renewal.
 * Others take over after they have observed an unchanged row for the whole TTL by their own clock.
 * If a paused holder acts on a lost lease, its orders are rejected by their outdated fencing token.
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class LeaseElector {
    /** Write to be performed by the caller. */
    public enum Step {
        /** Write nothing. */
        WAIT,
        /** Insert {@link #next()} if the row is absent. */
        INSERT,
        /** Replace the row of the observed revision by {@link #next()}. */
        REPLACE
    }

    private final String mHost;
    private final long mTtlMillis;
    private long mObservedRevision = -1;
    private long mObservedAtMillis;
    private LeaseRow mNext;
    private long mSentAtMillis;
    private long mFence;
    private long mHeldSinceMillis = Long.MIN_VALUE;

    private LeaseElector(String host, long ttlMillis) {
        mHost = host;
        mTtlMillis = ttlMillis;
    }

    /** Creates the elector of one daemon for one lease. */
    public static LeaseElector of(String host, long ttlMillis) {
        return new LeaseElector(host, ttlMillis);
    }

    /** Handles a read of the row and returns the write to perform. */
    public Step onRead(Optional<LeaseRow> row, long revision, long nowMillis) {
        if (revision != mObservedRevision) {
            mObservedRevision = revision;
            mObservedAtMillis = nowMillis;
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
        if (nowMillis - mObservedAtMillis < mTtlMillis) {
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
     * Handles a successful write. A write with an unknown result is not reported; the next read
     * resolves it.
     */
    public void onWritten(long revision) {
        mFence = mNext.fence();
        mObservedRevision = revision;
        mHeldSinceMillis = mSentAtMillis;
    }

    /** Returns the fencing token if this daemon may act as the holder now. */
    public Optional<Long> fence(long nowMillis) {
        boolean held =
                mHeldSinceMillis != Long.MIN_VALUE
                        && nowMillis - mHeldSinceMillis < mTtlMillis * 2 / 3;
        return held ? Optional.of(mFence) : Optional.empty();
    }
}
