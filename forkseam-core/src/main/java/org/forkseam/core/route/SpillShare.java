package org.forkseam.core.route;

/**
 * Follows the share of a pool's requests that leave their home since it is over its bound.
 *
 * <p>Counts fade with a time constant of two seconds. Used on one thread.
 *
 * @since 0.5
 */
public final class SpillShare {
    /**
     * Time constant of the counts: at some 20 requests a second to a router, the usual rate on the
     * fleets measured, 40 requests decide. Unit: milliseconds.
     */
    private static final double FADE_MILLIS = 2_000;

    /** Fewer requests than this say nothing. */
    private static final double LEAST_REQUESTS = 20;

    /**
     * Share above which a pool is out of balance. On a balanced pool 1 to 6% of the requests spill,
     * by keys that happen to come together, and up to 10% in some pairs of seconds of a small pool;
     * 20 to 34% did while 9 of 38 targets had no seat. At 0.12 a small pool moved its keys by
     * chance, twice as many GB for 0.008 of the day's worth less.
     */
    private static final double OUT_OF_BALANCE = 0.18;

    private double mPicks;
    private double mSpills;
    private long mAt;

    private SpillShare(long nowMillis) {
        mAt = nowMillis;
    }

    /** Creates the share of a pool of which nothing is known. */
    public static SpillShare since(long nowMillis) {
        return new SpillShare(nowMillis);
    }

    /** Notes why a target was chosen. */
    public void onPick(Pick.Reason reason, long nowMillis) {
        fade(nowMillis);
        mPicks++;
        if (reason == Pick.Reason.SPILL || reason == Pick.Reason.ALL_LOADED) {
            mSpills++;
        }
    }

    /** Returns whether so many requests leave their homes that the pool is out of balance. */
    public boolean isOutOfBalance(long nowMillis) {
        fade(nowMillis);
        return mPicks >= LEAST_REQUESTS && mSpills > OUT_OF_BALANCE * mPicks;
    }

    private void fade(long nowMillis) {
        double left = Math.exp((mAt - nowMillis) / FADE_MILLIS);
        mPicks *= left;
        mSpills *= left;
        mAt = nowMillis;
    }
}
