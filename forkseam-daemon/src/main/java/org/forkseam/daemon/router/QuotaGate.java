package org.forkseam.daemon.router;

import org.forkseam.core.admit.QuotaAllocator;
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
 * Holds each team to its hard quota over all routers.
 *
 * <p>Without a word a router lets a small part of its even share through. A team that is hot here
 * is reported to the sidecar its name hashes to, which divides the quota among the routers that
 * report; only hot teams cost messages. If no grant comes for as long as old ones may hold, the
 * even share is used. Used on the event loop.
 */
final class QuotaGate implements PacketListener {
    private static final long REPORT_MILLIS = 1_000;
    private static final double SMOOTHING = 0.5;
    private static final double HOT = 0.5;

    private final Fleet mFleet;
    private final FleetSync mSync;
    private final LinkManager mLinks;
    private final Map<String, Team> mTeams = new HashMap<>();

    QuotaGate(Fleet fleet, FleetSync sync, LinkManager links) {
        mFleet = fleet;
        mSync = sync;
        mLinks = links;
    }

    /** Takes a request through, or returns in how many milliseconds the next one may come. */
    OptionalLong refuse(TeamSpec team, long nowMillis) {
        if (team.requestsPerSecond() <= 0) {
            return OptionalLong.empty();
        }
        Team t = mTeams.computeIfAbsent(team.name(), k -> new Team(nowMillis));
        t.mArrivals++;
        int routers = Math.max(1, mFleet.view().routerCount());
        double even = team.requestsPerSecond() / routers;
        t.mBucket.reconfigure(
                t.rate(even, nowMillis), Math.max(1, team.burst() / routers), nowMillis);
        return t.mBucket.tryTake(nowMillis)
                ? OptionalLong.empty()
                : OptionalLong.of(t.mBucket.waitMillis(nowMillis));
    }

    /** Reports the teams that are hot here. */
    void tick(long nowMillis) {
        int routers = Math.max(1, mFleet.view().routerCount());
        for (Map.Entry<String, Team> e : mTeams.entrySet()) {
            Team t = e.getValue();
            if (nowMillis - t.mReportedAt < REPORT_MILLIS) {
                continue;
            }
            double seconds = (nowMillis - t.mReportedAt) / 1000.0;
            t.mDemand += SMOOTHING * (t.mArrivals / seconds - t.mDemand);
            t.mArrivals = 0;
            t.mReportedAt = nowMillis;
            double even = mFleet.config().team(e.getKey()).requestsPerSecond() / routers;
            if (t.mDemand > even * QuotaAllocator.UNREPORTED_SHARE * HOT) {
                report(e.getKey(), t, nowMillis);
            } else {
                t.mAskingSince = Long.MAX_VALUE;
            }
        }
    }

    private void report(String team, Team t, long nowMillis) {
        t.mAskingSince = Math.min(t.mAskingSince, nowMillis);
        QuotaReport r = QuotaReport.newBuilder().setTeam(team).setDemand(t.mDemand).build();
        home(team, nowMillis)
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

    private Optional<TargetView> home(String team, long nowMillis) {
        long key = Hashes.of(team);
        return mFleet.view().targets().stream()
                .filter(t -> !t.isLeaving(nowMillis) && t.health().trafficShare(nowMillis) > 0)
                .max(Comparator.comparingLong(t -> Hashes.mix(key, Hashes.of(t.name()))));
    }

    @Override
    public void onPacket(Link link, Packet p) {
        if (p.hasQuotaGrant()) {
            QuotaGrant g = p.getQuotaGrant();
            Team t = mTeams.get(g.getTeam());
            if (t != null) {
                t.mGranted = g.getRate();
                t.mGrantedAt = System.currentTimeMillis();
            }
        }
    }

    @Override
    public void onClosed(Link link) {
        // Grants run out by themselves.
    }

    /** Holds what this router knows of one team. */
    private static final class Team {
        private final TokenBucket mBucket;
        private int mArrivals;
        private double mDemand;
        private long mReportedAt;
        private long mAskingSince = Long.MAX_VALUE;
        private double mGranted;
        private long mGrantedAt;

        Team(long nowMillis) {
            mBucket = TokenBucket.of(1, Double.MAX_VALUE, nowMillis);
            mReportedAt = nowMillis;
        }

        double rate(double even, long nowMillis) {
            if (nowMillis - mGrantedAt <= QuotaAllocator.GRANT_MILLIS) {
                return mGranted;
            }
            long since = Math.max(mAskingSince, mGrantedAt);
            boolean unanswered =
                    mAskingSince != Long.MAX_VALUE
                            && nowMillis - since > QuotaAllocator.GRANT_MILLIS;
            return unanswered ? even : even * QuotaAllocator.UNREPORTED_SHARE;
        }
    }
}
