package org.forkseam.core.traffic;

import org.forkseam.core.util.Hashes;

import java.util.Map;

/**
 * Computes the fingerprint of a configuration as a sum over its elements, so that it can be updated
 * incrementally when the configuration changes.
 */
final class ConfigFingerprint {
    private ConfigFingerprint() {}

    static long of(TrafficConfig c) {
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

    /** Returns the fingerprint after a change. */
    static long after(TrafficConfig before, ConfigChange change) {
        long sum = before.fingerprint() - of(before.limits()) + of(change.limits());
        for (String name : change.removedRoutes()) {
            sum -= before.routeNamed(name).map(Route::fingerprint).orElse(0L);
        }
        for (Route r : change.routes()) {
            sum += r.fingerprint();
            sum -= before.routeNamed(r.name()).map(Route::fingerprint).orElse(0L);
        }
        for (String name : change.removedPools()) {
            sum -= before.pool(name).map(ConfigFingerprint::of).orElse(0L);
        }
        for (Pool p : change.pools()) {
            sum += of(p) - before.pool(p.name()).map(ConfigFingerprint::of).orElse(0L);
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
        long times = Hashes.mix(l.headerMillis(), l.idleMillis());
        return Hashes.mix(Hashes.mix(sizes, times), l.keyRequired() ? 1 : 0);
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
                        + p.coldStart().perSecond()
                        + '|'
                        + p.cacheTokensPerSlot()
                        + '|'
                        + p.healthPath());
    }

    private static long of(String key, Team t) {
        String homes = String.join(",", t.homes());
        return Hashes.of(key + '|' + t.name() + '|' + t.priority().orElse(-1) + '|' + homes);
    }
}
