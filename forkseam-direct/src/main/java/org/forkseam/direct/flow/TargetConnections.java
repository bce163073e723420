package org.forkseam.direct.flow;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetIncarnation;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.io.ConnectionPool;
import org.forkseam.direct.io.Connector;
import org.forkseam.direct.io.SurplusCounts;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/** Connection pools by target instance. Used on the event loop. */
final class TargetConnections {
    /** Share of a target's connection limit that all routers together use. */
    private static final double USED_SHARE = 0.9;

    /** Maximum idle time of a connection. */
    private static final long MAX_IDLE_MILLIS = 10_000;

    private final Connector mConnector;
    private final Clock mClock;
    private final Map<TargetIncarnation, ConnectionPool> mPools = new HashMap<>();

    TargetConnections(Connector connector, Clock clock) {
        mConnector = connector;
        mClock = clock;
    }

    /** Returns the connection pool of a target. */
    ConnectionPool pool(Target t) {
        return mPools.computeIfAbsent(
                t.incarnation(), s -> ConnectionPool.of(mConnector, mClock, t.entry().address()));
    }

    /** Limits the connections to a target to this router's share of the target's limit. */
    void setLimit(Target t, Optional<Pool> pool, int routers) {
        int max = pool.map(Pool::maxConnections).orElse(0);
        if (max > 0) {
            pool(t).setLimit(Math.max(2, (int) (USED_SHARE * max / Math.max(1, routers))));
        }
    }

    /**
     * Closes connections that were idle for too long, all idle connections to leaving targets, and
     * all idle connections to unknown targets.
     */
    void closeUnused(Map<TargetIncarnation, Target> known) {
        Iterator<Map.Entry<TargetIncarnation, ConnectionPool>> i = mPools.entrySet().iterator();
        while (i.hasNext()) {
            Map.Entry<TargetIncarnation, ConnectionPool> e = i.next();
            Target t = known.get(e.getKey());
            if (t == null) {
                e.getValue().close();
                i.remove();
                continue;
            }
            e.getValue().closeIdle(t.isPoolMember() ? MAX_IDLE_MILLIS : 0);
        }
    }

    int openCount() {
        return mPools.values().stream().mapToInt(ConnectionPool::openCount).sum();
    }

    SurplusCounts surplus() {
        return mConnector.surplus();
    }

    long openedCount() {
        return mConnector.openedCount();
    }
}
