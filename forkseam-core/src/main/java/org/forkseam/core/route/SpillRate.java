package org.forkseam.core.route;

/**
 * Tracks the fraction of a pool's requests not served by their home because of its load bound.
 *
 * <p>Counts decay exponentially. Not thread-safe.
 *
 * @since 0.5
 */
public final class SpillRate {
    /** Time constant of the decay: at 20 requests a second, about 40 requests count. */
    private static final double DECAY_MILLIS = 2_000;

    /** Decayed request count below which the rate is not meaningful. */
    private static final double MIN_REQUESTS = 20;

    /**
     * Spill rate above which a pool is imbalanced. A balanced pool spills 0.01 to 0.06, a small one
     * up to 0.1 for seconds; with 9 of 38 targets not in the shard table it was 0.20 to 0.34. At
     * 0.12 a small pool moved its keys by chance.
     */
    private static final double IMBALANCE_THRESHOLD = 0.18;

    private double mPicks;
    private double mSpills;
    private long mDecayedAt;

    private SpillRate(long nowMillis) {
        mDecayedAt = nowMillis;
    }

    /** Creates a rate without any requests. */
    public static SpillRate startingAt(long nowMillis) {
        return new SpillRate(nowMillis);
    }

    /** Records why a target was picked. */
    public void onPick(Pick.Reason reason, long nowMillis) {
        decay(nowMillis);
        mPicks++;
        if (reason == Pick.Reason.SPILL || reason == Pick.Reason.ALL_LOADED) {
            mSpills++;
        }
    }

    /** Returns whether the spill rate exceeds the imbalance threshold. */
    public boolean isImbalanced(long nowMillis) {
        decay(nowMillis);
        return mPicks >= MIN_REQUESTS && mSpills > IMBALANCE_THRESHOLD * mPicks;
    }

    private void decay(long nowMillis) {
        double factor = Math.exp((mDecayedAt - nowMillis) / DECAY_MILLIS);
        mPicks *= factor;
        mSpills *= factor;
        mDecayedAt = nowMillis;
    }
}
