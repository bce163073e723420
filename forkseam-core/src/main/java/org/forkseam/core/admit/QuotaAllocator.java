package org.forkseam.core.admit;

import java.util.Iterator;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

/**
 * Divides a team's hard quota among the routers that report demand.
 *
 * <p>A router that has not reported may use a quarter of its even share. The remaining quota is
 * divided among the reporting routers by max-min fairness, and any surplus evenly, so that the sum
 * never exceeds the quota. Grants are short-lived soft state: if they are lost, routers fall back
 * to their even share once the grants have expired ({@link QuotaShare}). An allocator without
 * reports doesn't know what another has granted, so that it grants nothing for the lifetime of a
 * grant after its first report; its reporters then count with the even share that they may use
 * until they are granted a rate. Not thread-safe.
 *
 * @since 0.1
 */
public final class QuotaAllocator {
    /** Fraction of its even share that a router may use without reporting. */
    public static final double UNREPORTED_SHARE = 0.25;

    /** Lifetime of a grant. */
    public static final long GRANT_MILLIS = 3_000;

    /** Time between a router's reports. */
    public static final long REPORT_INTERVAL_MILLIS = 1_000;

    private final Map<String, Report> mReports = new TreeMap<>();
    private long mFirstReportAtMillis;

    /** Last report of a router, and the rate that it may use until the next. */
    private record Report(double demand, double granted, long atMillis) {}

    /**
     * Records a router's demand and returns the rate granted to it, in requests per second, or
     * empty while another allocator's grants may be in force.
     *
     * @param router name of the reporting router
     * @param demand demand of the team at the router, in requests per second
     * @param quota the team's quota over all routers
     * @param routers number of routers
     * @param nowMillis current time
     */
    public OptionalDouble report(
            String router, double demand, double quota, int routers, long nowMillis) {
        for (Iterator<Report> i = mReports.values().iterator(); i.hasNext(); ) {
            if (nowMillis - i.next().atMillis() > GRANT_MILLIS) {
                i.remove();
            }
        }
        if (mReports.isEmpty()) {
            mFirstReportAtMillis = nowMillis;
        }
        Report previous = mReports.get(router);
        mReports.put(
                router, new Report(demand, previous == null ? 0 : previous.granted(), nowMillis));
        int all = Math.max(routers, mReports.size());
        double evenShare = quota / all;
        if (nowMillis - mFirstReportAtMillis <= GRANT_MILLIS) {
            mReports.put(router, new Report(demand, evenShare, nowMillis));
            return OptionalDouble.empty();
        }
        double available = quota - (all - mReports.size()) * evenShare * UNREPORTED_SHARE;
        double fairShare = maxMinShare(available, router);
        // Excludes what other routers still hold from earlier grants.
        double heldByOthers =
                mReports.entrySet().stream()
                        .filter(e -> !e.getKey().equals(router))
                        .mapToDouble(
                                e -> Math.max(e.getValue().granted(), evenShare * UNREPORTED_SHARE))
                        .sum();
        double granted = Math.max(0, Math.min(fairShare, available - heldByOthers));
        granted = Math.max(granted, evenShare * UNREPORTED_SHARE);
        mReports.put(router, new Report(demand, granted, nowMillis));
        return OptionalDouble.of(granted);
    }

    /** Returns the router's max-min fair share; surplus is divided evenly. */
    private double maxMinShare(double available, String router) {
        double remaining = available;
        int unsatisfied = mReports.size();
        double ownDemand = mReports.get(router).demand();
        for (double d : mReports.values().stream().map(Report::demand).sorted().toList()) {
            double level = remaining / unsatisfied;
            if (d >= level) {
                return Math.min(ownDemand, level) + Math.max(0, level - ownDemand);
            }
            if (d == ownDemand) {
                break;
            }
            remaining -= d;
            unsatisfied--;
        }
        double surplus = available - mReports.values().stream().mapToDouble(Report::demand).sum();
        return ownDemand + Math.max(0, surplus) / mReports.size();
    }
}
