package org.forkseam.core.admit;

/**
 * One router's rate of a team's hard quota: granted, unreported or even share. Not thread-safe.
 *
 * <p>A router that has been granted nothing for a grant's lifetime and a report's interval takes
 * its even share. The interval is added because routers report at different moments: when the
 * coordinator ends, another router's last grant may be younger by one interval.
 *
 * @since 0.1
 */
public final class QuotaShare {
    private static final long NEVER = Long.MAX_VALUE;

    private long mReportingSinceMillis = NEVER;
    private boolean mGranted;
    private double mGrantedRate;
    private long mGrantedAtMillis;

    private QuotaShare() {}

    /** Returns the share of a router that neither reports nor holds a grant. */
    public static QuotaShare unreported() {
        return new QuotaShare();
    }

    /** Notes that the router reports its demand. */
    public void onReport(long nowMillis) {
        mReportingSinceMillis = Math.min(mReportingSinceMillis, nowMillis);
    }

    /** Notes that the router's demand is too low to be reported. */
    public void onLowDemand() {
        mReportingSinceMillis = NEVER;
    }

    /** Takes a granted rate, in requests per second. */
    public void onGrant(double rate, long nowMillis) {
        mGranted = true;
        mGrantedRate = rate;
        mGrantedAtMillis = nowMillis;
    }

    /**
     * Returns the rate that the router may use, in requests per second.
     *
     * @param evenShare the quota divided by the number of routers
     * @param nowMillis current time
     */
    public double rate(double evenShare, long nowMillis) {
        if (mGranted && nowMillis - mGrantedAtMillis <= QuotaAllocator.GRANT_MILLIS) {
            return mGrantedRate;
        }
        return isUnanswered(nowMillis) ? evenShare : evenShare * QuotaAllocator.UNREPORTED_SHARE;
    }

    private boolean isUnanswered(long nowMillis) {
        if (mReportingSinceMillis == NEVER) {
            return false;
        }
        long since =
                mGranted
                        ? Math.max(mReportingSinceMillis, mGrantedAtMillis)
                        : mReportingSinceMillis;
        return nowMillis - since
                > QuotaAllocator.GRANT_MILLIS + QuotaAllocator.REPORT_INTERVAL_MILLIS;
    }
}
