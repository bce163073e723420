package org.forkseam.core.member;

/**
 * Detects unhealthy targets from the results of their requests (passive health checking).
 *
 * <p>Consecutive failures eject a target for a time that doubles with each ejection. Afterwards its
 * traffic is ramped up, which limits the impact of a flapping target. Not thread-safe.
 *
 * @since 0.1
 */
public final class TargetHealth {
    private static final int FAILURES_TO_EJECT = 2;
    private static final long FIRST_EJECTION_MILLIS = 500;
    private static final long MAX_EJECTION_MILLIS = 30_000;
    private static final long RAMP_MILLIS = 5_000;
    private static final double RAMP_START = 0.1;

    private int mFailures;
    private int mEjections;
    private long mEjectedUntil;
    private long mRampSince = Long.MIN_VALUE;

    /**
     * Records a failure caused by the target: unreachable, connection refused or lost, or a broken
     * response.
     */
    public void onFailure(long nowMillis) {
        if (nowMillis < mEjectedUntil) {
            return; // ignores requests that were in flight at the ejection
        }
        mFailures++;
        boolean onRamp = mRampSince != Long.MIN_VALUE && nowMillis < mRampSince + RAMP_MILLIS;
        if (mFailures < FAILURES_TO_EJECT && !onRamp) {
            return;
        }
        long ejectionMillis = FIRST_EJECTION_MILLIS << Math.min(mEjections, 6);
        mEjections++;
        mEjectedUntil = nowMillis + Math.min(ejectionMillis, MAX_EJECTION_MILLIS);
        mRampSince = mEjectedUntil;
        mFailures = 0;
    }

    /** Records a response or any other sign that the target works. */
    public void onSuccess(long nowMillis) {
        mFailures = 0;
        if (mRampSince != Long.MIN_VALUE && nowMillis > mRampSince + RAMP_MILLIS) {
            mEjections = Math.max(0, mEjections - 1);
            mRampSince = mEjections == 0 ? Long.MIN_VALUE : nowMillis;
        }
    }

    /**
     * Returns the fraction of its regular traffic that the target should get: 0 if ejected, 1 if
     * healthy.
     */
    public double trafficShare(long nowMillis) {
        if (nowMillis < mEjectedUntil) {
            return 0;
        }
        if (mRampSince == Long.MIN_VALUE || nowMillis >= mRampSince + RAMP_MILLIS) {
            return 1;
        }
        double progress = (double) (nowMillis - mRampSince) / RAMP_MILLIS;
        return RAMP_START + (1 - RAMP_START) * progress;
    }
}
