package org.forkseam.daemon.router;

import org.forkseam.core.admit.QuotaAllocator;
import org.forkseam.core.admit.QuotaShare;
import org.forkseam.core.admit.TokenBucket;
import org.forkseam.core.cfg.TeamSpec;
import org.forkseam.core.route.TargetView;
import org.forkseam.core.util.Hashes;
import org.forkseam.daemon.net.LinkManager;
import org.forkseam.daemon.net.PacketListener;
import org.forkseam.daemon.share.Fleet;
import org.forkseam.daemon.share.FleetSync;
import org.forkseam.wire.Link;
import org.forkseam.wire.proto.Packet;
import org.forkseam.wire.proto.QuotaGrant;
import org.forkseam.wire.proto.QuotaReport;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Enforces each team's hard quota across all routers. Not thread-safe: used on the event loop only.
 *
 * <p>Without a grant, a router admits a small fraction of its even share of the quota. If a team's
 * demand is higher, it is reported to a coordinating sidecar, chosen by rendezvous hashing on the
 * team name, which divides the quota among the reporting routers. If no grant arrives within the
 * lifetime of a grant, the router uses its even share.
 */
final class QuotaLimiter implements PacketListener {
    private static final double DEMAND_SMOOTHING = 0.5;
    private static final double REPORT_THRESHOLD = 0.5;

    private final Fleet mFleet;
    private final FleetSync mSync;
    private final LinkManager mLinks;
    private final Map<String, TeamState> mTeams = new HashMap<>();

    QuotaLimiter(Fleet fleet, FleetSync sync, LinkManager links) {
        mFleet = fleet;
        mSync = sync;
        mLinks = links;
    }

    /** Admits a request and returns empty, or returns the milliseconds until the next permit. */
    OptionalLong tryAcquire(TeamSpec team, long nowMillis) {
        if (team.requestsPerSecond() <= 0) {
            return OptionalLong.empty();
        }
        TeamState t = mTeams.computeIfAbsent(team.name(), k -> new TeamState(nowMillis));
        t.mArrivals++;
        int routers = Math.max(1, mFleet.view().routerCount());
        double evenShare = team.requestsPerSecond() / routers;
        t.mBucket.reconfigure(
                t.mShare.rate(evenShare, nowMillis),
                Math.max(1, team.burst() / routers),
                nowMillis);
        return t.mBucket.tryTake(nowMillis)
                ? OptionalLong.empty()
                : OptionalLong.of(t.mBucket.waitMillis(nowMillis));
    }

    /** Reports the demand of teams above the reporting threshold. */
    void tick(long nowMillis) {
        int routers = Math.max(1, mFleet.view().routerCount());
        for (Map.Entry<String, TeamState> e : mTeams.entrySet()) {
            TeamState t = e.getValue();
            if (nowMillis - t.mReportedAtMillis < QuotaAllocator.REPORT_INTERVAL_MILLIS) {
                continue;
            }
            double seconds = (nowMillis - t.mReportedAtMillis) / 1000.0;
            t.mDemand += DEMAND_SMOOTHING * (t.mArrivals / seconds - t.mDemand);
            t.mArrivals = 0;
            t.mReportedAtMillis = nowMillis;
            double evenShare = mFleet.config().team(e.getKey()).requestsPerSecond() / routers;
            if (t.mDemand > evenShare * QuotaAllocator.UNREPORTED_SHARE * REPORT_THRESHOLD) {
                report(e.getKey(), t, nowMillis);
            } else {
                t.mShare.onLowDemand();
            }
        }
    }

    private void report(String team, TeamState t, long nowMillis) {
        t.mShare.onReport(nowMillis);
        QuotaReport r = QuotaReport.newBuilder().setTeam(team).setDemand(t.mDemand).build();
        coordinator(team, nowMillis)
                .ifPresent(
                        h ->
                                mLinks.connect(h.address())
                                        .thenAccept(
                                                l ->
                                                        l.send(
                                                                mSync.packet()
                                                                        .setQuotaReport(r)
                                                                        .build())));
    }

    private Optional<TargetView> coordinator(String team, long nowMillis) {
        long key = Hashes.of(team);
        return mFleet.view().targets().stream()
                .filter(t -> !t.isLeaving(nowMillis) && t.health().trafficShare(nowMillis) > 0)
                .max(Comparator.comparingLong(t -> Hashes.mix(key, Hashes.of(t.name()))));
    }

    @Override
    public void onPacket(Link link, Packet p) {
        if (p.hasQuotaGrant()) {
            QuotaGrant g = p.getQuotaGrant();
            TeamState t = mTeams.get(g.getTeam());
            if (t != null) {
                t.mShare.onGrant(g.getRate(), System.currentTimeMillis());
            }
        }
    }

    @Override
    public void onClosed(Link link) {
        // Grants expire on their own.
    }

    /** Demand and share of one team on this router. */
    private static final class TeamState {
        private final TokenBucket mBucket;
        private final QuotaShare mShare = QuotaShare.unreported();
        private int mArrivals;
        private double mDemand;
        private long mReportedAtMillis;

        TeamState(long nowMillis) {
            mBucket = TokenBucket.of(1, Double.MAX_VALUE, nowMillis);
            mReportedAtMillis = nowMillis;
        }
    }
}
