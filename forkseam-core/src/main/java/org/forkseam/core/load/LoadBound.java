package org.forkseam.core.load;

/**
 * Keeps the promise that no target takes a request which puts it above a set multiple of its pool's
 * mean load.
 *
 * <p>Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2016), with each
 * target's share of the total weighted by its capacity. Pure and stateless.
 *
 * @since 0.1
 */
public final class LoadBound {
    private static final double ROUNDING = 1e-9;

    private LoadBound() {}

    /**
     * Returns the most requests a target may carry.
     *
     * @param multiple the pool's {@code max-load-multiple}, at least 1
     * @param totalLoad requests carried by the whole pool, with the one to be placed
     * @param capacity the target's capacity
     * @param totalCapacity the sum over the pool
     */
    public static int limit(double multiple, long totalLoad, int capacity, long totalCapacity) {
        if (totalCapacity <= 0) {
            return 1;
        }
        double share = multiple * totalLoad * capacity / totalCapacity;
        return Math.max(1, (int) Math.ceil(share - ROUNDING));
    }

    /** Returns whether a target that carries {@code load} may take one request more. */
    public static boolean admits(
            double multiple, int load, long othersLoad, int capacity, long totalCapacity) {
        return load + 1 <= limit(multiple, othersLoad + load + 1, capacity, totalCapacity);
    }
}
