package org.forkseam.core.lease;

/**
 * Rejects orders of former lease holders by their fencing token, on behalf of engines that may not
 * check it.
 *
 * <p>A new guard rejects all orders until it is initialized with the token in the lease's row,
 * because a previous incarnation of the sidecar may have admitted an order with that token. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class FenceGuard {
    private long mHighest = -1;

    /** Returns whether the guard must first be initialized. */
    public boolean isUninitialized() {
        return mHighest < 0;
    }

    /** Initializes the guard with the fencing token in the lease's row. */
    public void initialize(long fence) {
        mHighest = Math.max(mHighest, fence);
    }

    /** Returns whether an order is admitted; if so, older tokens are rejected from now on. */
    public boolean admit(long fence) {
        if (isUninitialized() || fence < mHighest) {
            return false;
        }
        mHighest = fence;
        return true;
    }

    /** Returns the highest known fencing token, or -1. */
    public long highest() {
        return mHighest;
    }
}
