package org.forkseam.core.admit;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides one team's hard quota among the routers that say they need it.
 *
 * <p>A router that has said nothing may let a quarter of its even share through. What those
 * quarters leave is divided among the routers that report, first to each up to its demand, evenly,
 * and the rest evenly too. So the sum never exceeds the quota, whichever routers report. Grants
 * hold for a short time and are soft state: if this is lost, routers fall back to their even share
 * once all grants have run out. Not thread-safe.
 *
 * @since 0.1
 */
public final class QuotaShares {
    /** Share of its even share that a router may use without asking. */
    public static final double SILENT_SHARE = 0.25;

    /** How long a grant holds. */
    public static final long GRANT_MILLIS = 3_000;

    private final Map<String, Report> mReports = new TreeMap<>();

    /** Holds what one router said and when, and what it was granted. */
    private record Report(double demand, double granted, long atMillis) {}

    /**
     * Takes a router's demand in and returns the rate it is granted.
     *
     * @param router who reports
     * @param demand requests a second it sees of the team
     * @param quota the team's quota over the whole fleet
     * @param routers routers in the fleet
     * @param nowMillis the present
     */
    public double report(String router, double demand, double quota, int routers, long nowMillis) {
        for (Iterator<Report> i = mReports.values().iterator(); i.hasNext(); ) {
            if (nowMillis - i.next().atMillis() > GRANT_MILLIS) {
                i.remove();
            }
        }
        Report old = mReports.get(router);
        mReports.put(router, new Report(demand, old == null ? 0 : old.granted(), nowMillis));
        int all = Math.max(routers, mReports.size());
        double even = quota / all;
        double pot = quota - (all - mReports.size()) * even * SILENT_SHARE;
        double fair = divide(pot, router);
        // What others still hold from earlier grants is not given twice.
        double held =
                mReports.entrySet().stream()
                        .filter(e -> !e.getKey().equals(router))
                        .mapToDouble(e -> Math.max(e.getValue().granted(), even * SILENT_SHARE))
                        .sum();
        double granted = Math.max(0, Math.min(fair, pot - held));
        granted = Math.max(granted, even * SILENT_SHARE);
        mReports.put(router, new Report(demand, granted, nowMillis));
        return granted;
    }

    /** Gives each its demand as far as an even division allows, and the rest evenly. */
    private double divide(double pot, String router) {
        double left = pot;
        int open = mReports.size();
        double own = mReports.get(router).demand();
        for (double d : mReports.values().stream().map(Report::demand).sorted().toList()) {
            double level = left / open;
            if (d >= level) {
                return Math.min(own, level) + Math.max(0, level - own);
            }
            if (d == own) {
                break;
            }
            left -= d;
            open--;
        }
        double spare = pot - mReports.values().stream().mapToDouble(Report::demand).sum();
        return own + Math.max(0, spare) / mReports.size();
    }
}
