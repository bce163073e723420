package org.forkseam.core.admit;

/**
 * Mean of the admitted share over the last seconds. Distinguishes fluctuations of the share of a
 * router with few results from a shortage that has become worse. Not thread-safe.
 */
final class SteadyShare {
    private static final double MEAN_MILLIS = 3_000;

    /** Fraction of the mean below which the share has not just fluctuated. */
    private static final double MIN_FLUCTUATION = 0.4;

    private double mMean = 1;
    private long mUpdatedAt;

    SteadyShare(long now) {
        mUpdatedAt = now;
    }

    void update(double share, long now) {
        double weight = Math.exp(Math.min(0, mUpdatedAt - now) / MEAN_MILLIS);
        mMean = mMean * weight + share * (1 - weight);
        mUpdatedAt = now;
    }

    double mean() {
        return mMean;
    }

    /** Returns whether a share is lower than the mean by no more than a fluctuation. */
    boolean isFluctuation(double share) {
        return share < mMean && share > MIN_FLUCTUATION * mMean;
    }
}
