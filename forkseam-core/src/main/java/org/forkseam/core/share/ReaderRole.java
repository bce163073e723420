package org.forkseam.core.share;

/**
 * Decides whether this router reads the store for all, or leaves it to another that it hears.
 *
 * <p>Nobody is elected: of two routers that hear each other, the one whose address is lower goes
 * on. A reader that is lost is missed after the time given, and whoever misses it first reads in
 * its place. Not thread-safe.
 *
 * @since 0.4
 */
public final class ReaderRole {
    private final long mHeardMillis;
    private long mQuietUntil = Long.MIN_VALUE / 2;

    private ReaderRole(long heardMillis) {
        mHeardMillis = heardMillis;
    }

    /**
     * Creates the role of a router that has heard nobody.
     *
     * @param heardMillis a reader that was not heard for so long is taken to be lost
     */
    public static ReaderRole of(long heardMillis) {
        return new ReaderRole(heardMillis);
    }

    /** Notes that a router was heard that goes before this one, and has just read. */
    public void onHeard(long nowMillis) {
        mQuietUntil = nowMillis + mHeardMillis;
    }

    /** Returns for how long this router still leaves the reading to another; 0 if it reads. */
    public long quietMillis(long nowMillis) {
        return Math.max(0, mQuietUntil - nowMillis);
    }

    /** Returns whether this router reads for all, as far as it knows. */
    public boolean isReader(long nowMillis) {
        return quietMillis(nowMillis) == 0;
    }
}
