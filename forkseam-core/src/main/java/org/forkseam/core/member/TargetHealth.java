package org.forkseam.core.member;

/**
 * Watches one target through the outcomes of requests sent to it.
 *
 * <p>A run of failures takes the target out for a time that doubles while it goes on failing; after
 * that it gets its traffic back by a ramp, so that a flapping target sees little. Not thread-safe.
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
    private long mOutUntil;
    private long mRampSince = Long.MIN_VALUE;

    /** Notes a failure of the target itself: unreachable, down, cut or broken. */
    public void onFailure(long nowMillis) {
        if (nowMillis < mOutUntil) {
            return; // requests that were under way when it failed tell nothing new
        }
        mFailures++;
        boolean onRamp = mRampSince != Long.MIN_VALUE && nowMillis < mRampSince + RAMP_MILLIS;
        if (mFailures < FAILURES_TO_EJECT && !onRamp) {
            return;
        }
        long out = FIRST_EJECTION_MILLIS << Math.min(mEjections, 6);
        mEjections++;
        mOutUntil = nowMillis + Math.min(out, MAX_EJECTION_MILLIS);
        mRampSince = mOutUntil;
        mFailures = 0;
    }

    /** Notes an answer, or any other sign that the target works. */
    public void onSuccess(long nowMillis) {
        mFailures = 0;
        if (mRampSince != Long.MIN_VALUE && nowMillis > mRampSince + RAMP_MILLIS) {
            mEjections = Math.max(0, mEjections - 1);
            mRampSince = mEjections == 0 ? Long.MIN_VALUE : nowMillis;
        }
    }

    /** Returns the share of its usual traffic that the target should get: 0 out, 1 whole. */
    public double share(long nowMillis) {
        if (nowMillis < mOutUntil) {
            return 0;
        }
        if (mRampSince == Long.MIN_VALUE || nowMillis >= mRampSince + RAMP_MILLIS) {
            return 1;
        }
        double done = (double) (nowMillis - mRampSince) / RAMP_MILLIS;
        return RAMP_START + (1 - RAMP_START) * done;
    }
}
