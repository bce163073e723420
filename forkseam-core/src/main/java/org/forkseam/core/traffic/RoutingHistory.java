package org.forkseam.core.traffic;

import org.forkseam.core.util.BoundedMap;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks when the pools of routes have changed, since the pool that serves a path now may not be
 * the one that began an earlier stream. Not thread-safe.
 *
 * @since 0.7
 */
public final class RoutingHistory {
    private static final int MAX_CHANGES = 8_192;

    private final Map<PathKey, Long> mChangedAt = BoundedMap.byAccess(MAX_CHANGES);
    private TrafficConfig mConfig = TrafficConfig.none();

    /** Identifies the paths of a route, whatever its name. */
    private record PathKey(String host, String pathPrefix) {
        static PathKey of(Route r) {
            return new PathKey(r.host(), r.pathPrefix());
        }
    }

    private RoutingHistory() {}

    /** Creates a history without a configuration. */
    public static RoutingHistory create() {
        return new RoutingHistory();
    }

    /** Applies a newer configuration. */
    public void onConfig(TrafficConfig config, long nowMillis) {
        Map<PathKey, Route> removed = new HashMap<>();
        mConfig.routes().forEach(r -> removed.put(PathKey.of(r), r));
        for (Route r : config.routes()) {
            Route before = removed.remove(PathKey.of(r));
            boolean isSame = before != null && before.shares().equals(r.shares());
            if (!isSame && mConfig.isKnown()) {
                mChangedAt.put(PathKey.of(r), nowMillis);
            }
        }
        // The paths of a removed route fall to the next shorter prefix, if any.
        for (Route r : removed.values()) {
            mChangedAt.put(PathKey.of(r), nowMillis);
            config.route(r.host(), r.pathPrefix())
                    .ifPresent(next -> mChangedAt.put(PathKey.of(next), nowMillis));
        }
        mConfig = config;
    }

    /** Returns whether the paths of a route have been served by the same pools for a time. */
    public boolean isUnchangedFor(Route route, long millis, long nowMillis) {
        Long changedAt = mChangedAt.isEmpty() ? null : mChangedAt.get(PathKey.of(route));
        return changedAt == null || nowMillis - changedAt >= millis;
    }
}
