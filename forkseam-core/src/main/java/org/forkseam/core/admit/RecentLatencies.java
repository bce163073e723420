package org.forkseam.core.admit;

import java.util.Arrays;

/** The newest latencies of a pool, as fractions of their objectives. Not thread-safe. */
final class RecentLatencies {
    /** Number of latencies kept; a router with 23 requests a second gets them in 0.4 s. */
    private static final int SIZE = 9;

    /**
     * Latencies above a fraction from which it counts as exceeded: a third. A sixth of the targets
     * being slow stays below, while at 340 routers the half came too late in a shortage.
     */
    private static final int MIN_ABOVE = SIZE / 3;

    private final double[] mFractions = new double[SIZE];
    private int mCount;

    void add(double fraction) {
        mFractions[mCount++ % SIZE] = fraction;
    }

    /**
     * Returns whether a third of them is above a fraction; also while there are too few, so that a
     * router that has just started adapts within its first second.
     */
    boolean areOftenAbove(double fraction) {
        return mCount < SIZE
                || Arrays.stream(mFractions).filter(f -> f > fraction).count() >= MIN_ABOVE;
    }
}
