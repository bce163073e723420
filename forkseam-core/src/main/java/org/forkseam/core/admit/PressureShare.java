package org.forkseam.core.admit;

/**
 * Adapts the admitted share by additive increase with time and a multiplicative decrease with each
 * result in proportion to its pressure.
 *
 * <p>The decrease by one result is divided by the router's rate of results, so that the mean share
 * of many routers with few results follows the same course as that of few routers with many.
 * Multiplicative decrease pulls the shares of routers together that random results have moved
 * apart; a change in proportion to the pressure alone lets them drift. No window is closed, since a
 * window of a router with ten requests per second holds two results. Not thread-safe.
 */
final class PressureShare implements ShareController {
    /** Increase per millisecond while results show pressure. */
    private static final double INCREASE = 0.0001;

    /**
     * Factor of the increase while there is no pressure: a share of 0.4 is restored within two
     * seconds of the end of a burst.
     */
    private static final double QUIET_FACTOR = 4;

    /** Pressure below which there is no shortage. */
    private static final double QUIET_PRESSURE = 0.05;

    /**
     * Relative decrease per millisecond at a pressure of 1. With {@link #INCREASE}, the pressure
     * settles at 0.1 for a share of 0.5: queues stay short enough for answers in time, and long
     * enough that no target runs empty.
     */
    private static final double DECREASE = 0.002;

    /** Limit of the decrease by one result, which may be late for another reason. */
    private static final double MAX_STEP = 0.08;

    /** Time constant of the rates of requests and results. */
    private static final double RATE_MILLIS = 1_000;

    /**
     * Fraction of the answered share below which results do not decrease the share. While requests
     * are late, targets are busy and the answered share is the one they can serve; a fifth less
     * empties the queues.
     */
    private static final double ANSWERED_FRACTION = 0.8;

    /**
     * Temporary decrease at a pressure of 1. It acts without the delay of the integrated share,
     * which oscillates otherwise.
     */
    private static final double DIRECT_DECREASE = 0.5;

    /** Time constant of the pressure. */
    private static final double PRESSURE_MILLIS = 500;

    /**
     * Upper bound of the share before it is limited to 1. The distance to 1 absorbs single late
     * results, which do not show a shortage.
     */
    private static final double HEADROOM = 1.3;

    /** Lower bound of the share, so that answers still show when the shortage has ended. */
    private static final double MIN_SHARE = 0.1;

    /** Time without answers after which the share is 1: there is nothing that it could protect. */
    private static final long NO_ANSWER_MILLIS = 2_000;

    private final DecayingCount mArrived = new DecayingCount(RATE_MILLIS);
    private final DecayingCount mAnswered = new DecayingCount(RATE_MILLIS);
    private final DecayingCount mResults = new DecayingCount(RATE_MILLIS);
    private final DecayingCount mRecentResults = new DecayingCount(PRESSURE_MILLIS);
    private final DecayingCount mRecentPressure = new DecayingCount(PRESSURE_MILLIS);
    private double mShare = HEADROOM;
    private long mUpdatedAt;
    private long mAnsweredAt;

    PressureShare(long now) {
        mUpdatedAt = now;
        mAnsweredAt = now;
    }

    @Override
    public void onArrived(long now) {
        mArrived.add(1, now);
    }

    @Override
    public void onResult(double pressure, boolean answered, long now) {
        increase(now);
        mResults.add(1, now);
        if (answered) {
            mAnsweredAt = now;
            mAnswered.add(1, now);
        }
        mRecentResults.add(1, now);
        mRecentPressure.add(pressure, now);
        double step = DECREASE * RATE_MILLIS * pressure / Math.max(1, mResults.value(now));
        double lower = mShare * (1 - Math.min(MAX_STEP, step));
        double answeredShare = mAnswered.value(now) / Math.max(1, mArrived.value(now));
        double bound = Math.min(mShare, ANSWERED_FRACTION * answeredShare);
        mShare = Math.max(MIN_SHARE, Math.max(lower, bound));
    }

    @Override
    public double share(long now) {
        increase(now);
        if (now - mAnsweredAt > NO_ANSWER_MILLIS) {
            mShare = HEADROOM;
            return 1;
        }
        double share = mShare - DIRECT_DECREASE * pressure(now);
        return Math.max(MIN_SHARE, Math.min(1, share));
    }

    /** Returns the mean pressure of recent results; a single one counts half. */
    private double pressure(long now) {
        return mRecentPressure.value(now) / (mRecentResults.value(now) + 1);
    }

    private void increase(long now) {
        long elapsed = Math.max(0, now - mUpdatedAt);
        mUpdatedAt = now;
        double factor = pressure(now) < QUIET_PRESSURE ? QUIET_FACTOR : 1;
        mShare = Math.min(HEADROOM, mShare + INCREASE * factor * elapsed);
    }
}
