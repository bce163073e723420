package org.forkseam.core.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Difference between two configurations, sent instead of the complete newer one, which may be
 * large. It can be applied only to the configuration that it was computed from; a router with any
 * other configuration reads the complete one.
 *
 * @param before version of the older configuration
 * @param after version of the newer configuration
 * @param fingerprintBefore fingerprint of the older configuration
 * @param fingerprintAfter fingerprint of the newer configuration
 * @param routes new and changed routes
 * @param removedRoutes names of removed routes
 * @param pools new and changed pools
 * @param removedPools names of removed pools
 * @param teams new and changed teams by key
 * @param removedKeys removed keys
 * @param limits limits of the newer configuration
 * @since 0.5
 */
public record ConfigChange(
        long before,
        long after,
        long fingerprintBefore,
        long fingerprintAfter,
        List<Route> routes,
        List<String> removedRoutes,
        List<Pool> pools,
        List<String> removedPools,
        Map<String, Team> teams,
        List<String> removedKeys,
        CallerLimits limits) {

    /** Returns the difference, or empty if route names are not unique. */
    public static Optional<ConfigChange> between(TrafficConfig older, TrafficConfig newer) {
        if (!older.hasDistinctNames() || !newer.hasDistinctNames()) {
            return Optional.empty();
        }
        ConfigChange c =
                new ConfigChange(
                        older.version(),
                        newer.version(),
                        older.fingerprint(),
                        newer.fingerprint(),
                        changedRoutes(older, newer),
                        missingRoutes(older, newer),
                        changedPools(older, newer),
                        missingPools(older, newer),
                        changedTeams(older, newer),
                        missingKeys(older, newer),
                        newer.limits());
        return Optional.of(c);
    }

    private static List<Route> changedRoutes(TrafficConfig older, TrafficConfig newer) {
        List<Route> out = new ArrayList<>();
        for (Route r : newer.routes()) {
            if (!older.routeNamed(r.name()).equals(Optional.of(r))) {
                out.add(r);
            }
        }
        return out;
    }

    private static List<String> missingRoutes(TrafficConfig older, TrafficConfig newer) {
        return older.routes().stream()
                .map(Route::name)
                .filter(n -> newer.routeNamed(n).isEmpty())
                .toList();
    }

    private static List<Pool> changedPools(TrafficConfig older, TrafficConfig newer) {
        return newer.pools().stream()
                .filter(p -> !older.pool(p.name()).equals(Optional.of(p)))
                .toList();
    }

    private static List<String> missingPools(TrafficConfig older, TrafficConfig newer) {
        return older.pools().stream().map(Pool::name).filter(n -> newer.pool(n).isEmpty()).toList();
    }

    private static Map<String, Team> changedTeams(TrafficConfig older, TrafficConfig newer) {
        Map<String, Team> out = new HashMap<>();
        newer.teamsByKey()
                .forEach(
                        (k, t) -> {
                            if (!older.team(k).equals(Optional.of(t))) {
                                out.put(k, t);
                            }
                        });
        return out;
    }

    private static List<String> missingKeys(TrafficConfig older, TrafficConfig newer) {
        return older.teamsByKey().keySet().stream().filter(k -> newer.team(k).isEmpty()).toList();
    }

    TrafficConfig applyTo(TrafficConfig older) {
        Map<String, Route> byName = new HashMap<>();
        older.routes().forEach(r -> byName.put(r.name(), r));
        byName.keySet().removeAll(removedRoutes);
        routes.forEach(r -> byName.put(r.name(), r));
        Map<String, Pool> poolsByName = new HashMap<>();
        older.pools().forEach(p -> poolsByName.put(p.name(), p));
        poolsByName.keySet().removeAll(removedPools);
        pools.forEach(p -> poolsByName.put(p.name(), p));
        Map<String, Team> byKey = new HashMap<>(older.teamsByKey());
        byKey.keySet().removeAll(removedKeys);
        byKey.putAll(teams);
        return TrafficConfig.of(
                after,
                List.copyOf(byName.values()),
                List.copyOf(poolsByName.values()),
                byKey,
                limits);
    }
}
