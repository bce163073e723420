package org.forkseam.core.outcome;

/**
 * Estimates when a refused caller should come back to a pool: once those refused lately can have
 * been served at the pool's pace.
 *
 * <p>Both paces are counts that fade with a time constant of one second. A pool that refuses now
 * and then has room again at once; one that serves nothing gets its callers back the later, the
 * more of them were sent away. Used on one thread.
 *
 * @since 0.3
 */
public final class ComeBack {
    /** Time constant of the counts. Origin: some ten times a usual answer. Unit: milliseconds. */
    private static final double FADE_MILLIS = 1_000;

    /** Below this, a caller would come back before anything can have changed. */
    private static final long MIN_MILLIS = 100;

    /** Above this, a caller would miss a pool that is back after a short fault. */
    private static final long MAX_MILLIS = 2_000;

    private double mServed;
    private double mRefused;
    private long mAt;

    private ComeBack(long nowMillis) {
        mAt = nowMillis;
    }

    /** Creates an estimate for a pool of which nothing is known. */
    public static ComeBack since(long nowMillis) {
        return new ComeBack(nowMillis);
    }

    /** Notes a request that the pool answered. */
    public void onServed(long nowMillis) {
        fade(nowMillis);
        mServed++;
    }

    /** Notes a refused request, and returns after how many milliseconds to come back. */
    public long onRefused(long nowMillis) {
        fade(nowMillis);
        mRefused++;
        long wait = (long) (FADE_MILLIS * mRefused / Math.max(1, mServed));
        return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, wait));
    }

    private void fade(long nowMillis) {
        double left = Math.exp((mAt - nowMillis) / FADE_MILLIS);
        mServed *= left;
        mRefused *= left;
        mAt = nowMillis;
    }
}
