package org.forkseam.core.admit;

/** Sum whose parts lose weight exponentially with time. Not thread-safe. */
final class DecayingCount {
    private final double mDecayMillis;
    private double mValue;
    private long mUpdatedAt;

    DecayingCount(double decayMillis) {
        mDecayMillis = decayMillis;
    }

    void add(double amount, long now) {
        mValue = value(now) + amount;
        mUpdatedAt = now;
    }

    double value(long now) {
        return mValue * Math.exp(Math.min(0, mUpdatedAt - now) / mDecayMillis);
    }
}
