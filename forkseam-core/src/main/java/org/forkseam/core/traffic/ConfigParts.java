package org.forkseam.core.traffic;

import org.forkseam.core.util.Hashes;

import java.util.Map;

/**
 * Works out the fingerprint of a configuration as a sum over its parts, so that a change costs as
 * much as it changes, not as the whole configuration holds.
 */
final class ConfigParts {
    private ConfigParts() {}

    static long sum(TrafficConfig c) {
        long sum = of(c.limits());
        for (Route r : c.routes()) {
            sum += r.fingerprint();
        }
        for (Pool p : c.pools()) {
            sum += of(p);
        }
        for (Map.Entry<String, Team> e : c.teamsByKey().entrySet()) {
            sum += of(e.getKey(), e.getValue());
        }
        return sum;
    }

    /** Returns the sum that a change leads to. */
    static long sumAfter(TrafficConfig before, ConfigChange change) {
        long sum = before.fingerprint() - of(before.limits()) + of(change.limits());
        for (String name : change.removedRoutes()) {
            sum -= before.routeNamed(name).map(Route::fingerprint).orElse(0L);
        }
        for (Route r : change.routes()) {
            sum += r.fingerprint();
            sum -= before.routeNamed(r.name()).map(Route::fingerprint).orElse(0L);
        }
        for (String name : change.removedPools()) {
            sum -= before.pool(name).map(ConfigParts::of).orElse(0L);
        }
        for (Pool p : change.pools()) {
            sum += of(p) - before.pool(p.name()).map(ConfigParts::of).orElse(0L);
        }
        for (String key : change.removedKeys()) {
            sum -= before.team(key).map(t -> of(key, t)).orElse(0L);
        }
        for (Map.Entry<String, Team> e : change.teams().entrySet()) {
            String key = e.getKey();
            sum += of(key, e.getValue()) - before.team(key).map(t -> of(key, t)).orElse(0L);
        }
        return sum;
    }

    private static long of(CallerLimits l) {
        long sizes = Hashes.mix(l.headerBytes(), l.bodyBytes());
        return Hashes.mix(sizes, Hashes.mix(l.headerMillis(), l.idleMillis()));
    }

    private static long of(Pool p) {
        return Hashes.of(
                p.name()
                        + '|'
                        + p.maxConnections()
                        + '|'
                        + p.engine()
                        + '|'
                        + p.coldStart().millis()
                        + '|'
                        + p.coldStart().perSecond());
    }

    private static long of(String key, Team t) {
        String homes = String.join(",", t.homes());
        return Hashes.of(key + '|' + t.name() + '|' + t.priority().orElse(-1) + '|' + homes);
    }
}
