package org.forkseam.core.lease;

/**
 * Keeps orders of former holders from a target, on the sidecar, whether its engine checks fences or
 * not.
 *
 * <p>A guard that has just been made knows no fence and lets nothing through until it is told the
 * one in the lease's row: the sidecar before it may have passed on an order of that fence. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class FenceGuard {
    private long mHighest = -1;

    /** Returns whether the guard must be told the lease's fence first. */
    public boolean mustLearn() {
        return mHighest < 0;
    }

    /** Takes in the fence in the lease's row. */
    public void learn(long fence) {
        mHighest = Math.max(mHighest, fence);
    }

    /** Returns whether an order may pass, and remembers its fence if so. */
    public boolean admit(long fence) {
        if (mustLearn() || fence < mHighest) {
            return false;
        }
        mHighest = fence;
        return true;
    }

    /** Returns the highest fence seen, or -1. */
    public long highest() {
        return mHighest;
    }
}
