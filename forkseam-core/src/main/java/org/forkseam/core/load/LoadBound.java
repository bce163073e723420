package org.forkseam.core.load;

/**
 * Computes the load bound of targets: no target accepts a request that puts it above a configured
 * multiple of its pool's mean load.
 *
 * <p>Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2016), with targets
 * weighted by capacity. Stateless.
 *
 * @since 0.1
 */
public final class LoadBound {
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private LoadBound() {}

    /**
     * Returns the highest number of requests allowed on a target.
     *
     * @param multiple the pool's {@code max-load-multiple}, at least 1
     * @param totalLoad requests in the whole pool, including the one to be placed
     * @param capacity the target's capacity
     * @param totalCapacity the total capacity of the pool
     */
    public static int limit(double multiple, long totalLoad, int capacity, long totalCapacity) {
        if (totalCapacity <= 0) {
            return 1;
        }
        double share = multiple * totalLoad * capacity / totalCapacity;
        return Math.max(1, (int) Math.ceil(share - ROUNDING_TOLERANCE));
    }

    /** Returns whether a target with {@code load} requests may accept another. */
    public static boolean admits(
            double multiple, int load, long othersLoad, int capacity, long totalCapacity) {
        return load + 1 <= limit(multiple, othersLoad + load + 1, capacity, totalCapacity);
    }
}
