package org.forkseam.core.admit;

/** Tracks whether a pool is short of capacity and for how long. Not thread-safe. */
final class Shortage {
    /** Share below which a pool is short of capacity; a single refusal leaves a higher one. */
    private static final double SHORTAGE_SHARE = 0.8;

    /** Time without a sign of shortage after which it has ended. */
    private static final long QUIET_MILLIS = 1_000;

    /** Bounds of the expected duration; callers of short deadlines still have time to return. */
    private static final long MIN_DURATION_MILLIS = 400;

    private static final long MAX_DURATION_MILLIS = 2_000;

    private boolean mActive;
    private long mBeganAt;
    private long mSeenAt;

    /** Updates the state from the admitted share and whether a request was rejected. */
    void update(double share, boolean rejected, long now) {
        if (share < SHORTAGE_SHARE || rejected) {
            if (!isActive(now)) {
                mBeganAt = now;
            }
            mActive = true;
            mSeenAt = now;
        }
    }

    boolean isActive(long now) {
        return mActive && now - mSeenAt < QUIET_MILLIS;
    }

    /** Returns the expected remaining duration: as long as the shortage has lasted, bounded. */
    long remainingMillis(long now) {
        long age = isActive(now) ? now - mBeganAt : 0;
        return Math.max(MIN_DURATION_MILLIS, Math.min(MAX_DURATION_MILLIS, age));
    }
}
