package org.forkseam.daemon.sidecar;

import org.forkseam.core.admit.QuotaAllocator;
import org.forkseam.core.util.Clock;
import org.forkseam.daemon.net.PacketListener;
import org.forkseam.daemon.share.Fleet;
import org.forkseam.daemon.share.FleetSync;
import org.forkseam.wire.Link;
import org.forkseam.wire.proto.Packet;
import org.forkseam.wire.proto.QuotaGrant;
import org.forkseam.wire.proto.QuotaReport;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Splits the quotas of heavily used teams that hash to this target among the routers that report
 * demand. Not thread-safe; used on the event loop.
 */
final class QuotaCoordinator implements PacketListener {
    private final Fleet mFleet;
    private final FleetSync mSync;
    private final Clock mClock;
    private final Map<String, QuotaAllocator> mSharesByTeam = new HashMap<>();

    QuotaCoordinator(Fleet fleet, FleetSync sync, Clock clock) {
        mFleet = fleet;
        mSync = sync;
        mClock = clock;
    }

    @Override
    public void onPacket(Link link, Packet p) {
        if (!p.hasQuotaReport()) {
            return;
        }
        QuotaReport r = p.getQuotaReport();
        double quota = mFleet.config().team(r.getTeam()).requestsPerSecond();
        OptionalDouble rate =
                mSharesByTeam
                        .computeIfAbsent(r.getTeam(), k -> new QuotaAllocator())
                        .report(
                                link.peer().getHost(),
                                r.getDemand(),
                                quota,
                                mFleet.view().routerCount(),
                                mClock.nowMillis());
        rate.ifPresent(
                granted -> {
                    QuotaGrant g =
                            QuotaGrant.newBuilder().setTeam(r.getTeam()).setRate(granted).build();
                    link.send(mSync.packet().setQuotaGrant(g).build());
                });
    }

    @Override
    public void onClosed(Link link) {
        // Demand reports expire on their own.
    }
}
