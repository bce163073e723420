package org.forkseam.core.share;

/**
 * Decides whether this router reads the store on behalf of all routers or stands by for another
 * that does.
 *
 * <p>There is no election: of two routers that hear each other, the one with the lower address
 * continues. A router that has not heard the reader for the timeout takes over. Not thread-safe.
 *
 * @since 0.4
 */
public final class StoreReaderRole {
    private final long mReaderTimeoutMillis;
    private long mStandbyUntil = Long.MIN_VALUE / 2;

    private StoreReaderRole(long readerTimeoutMillis) {
        mReaderTimeoutMillis = readerTimeoutMillis;
    }

    /**
     * Creates the role of a router that has not heard another reader.
     *
     * @param readerTimeoutMillis time without hearing the reader after which it counts as lost
     */
    public static StoreReaderRole of(long readerTimeoutMillis) {
        return new StoreReaderRole(readerTimeoutMillis);
    }

    /** Records that a router with precedence over this one has just read the store. */
    public void onReaderHeard(long nowMillis) {
        mStandbyUntil = nowMillis + mReaderTimeoutMillis;
    }

    /** Returns how long this router still stands by; 0 if it reads. */
    public long standbyMillis(long nowMillis) {
        return Math.max(0, mStandbyUntil - nowMillis);
    }

    /** Returns whether this router reads the store for all, as far as it knows. */
    public boolean isReader(long nowMillis) {
        return standbyMillis(nowMillis) == 0;
    }
}
