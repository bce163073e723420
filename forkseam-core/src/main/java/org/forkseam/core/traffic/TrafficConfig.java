package org.forkseam.core.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Version of the operators' traffic configuration. Immutable except for the lazily computed
 * fingerprint; not thread-safe.
 *
 * @since 0.2
 */
public final class TrafficConfig {
    private static final TrafficConfig NONE =
            new TrafficConfig(0, List.of(), List.of(), Map.of(), CallerLimits.defaults());

    private final long mVersion;
    private final Map<String, Route> mByName = new HashMap<>();
    private final Map<String, List<Route>> mByHost;
    private final Map<String, Pool> mPools;
    private final Map<String, Team> mTeamsByKey;
    private final CallerLimits mLimits;
    private long mFingerprint;

    private TrafficConfig(
            long version,
            List<Route> routes,
            List<Pool> pools,
            Map<String, Team> teamsByKey,
            CallerLimits limits) {
        mVersion = version;
        routes.forEach(r -> mByName.put(r.name(), r));
        mByHost = byHost(routes);
        mPools = new HashMap<>();
        pools.forEach(p -> mPools.put(p.name(), p));
        mTeamsByKey = Map.copyOf(teamsByKey);
        mLimits = limits;
    }

    /** Creates a configuration. */
    public static TrafficConfig of(
            long version,
            List<Route> routes,
            List<Pool> pools,
            Map<String, Team> teamsByKey,
            CallerLimits limits) {
        return new TrafficConfig(version, routes, pools, teamsByKey, limits);
    }

    /** Returns the empty configuration, which has version 0. */
    public static TrafficConfig none() {
        return NONE;
    }

    private static Map<String, List<Route>> byHost(List<Route> routes) {
        Map<String, List<Route>> out = new HashMap<>();
        for (Route r : routes) {
            out.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(r -> -r.pathPrefix().length());
        out.values().forEach(l -> l.sort(longestFirst));
        return out;
    }

    /** Returns the version; 0 if there is no configuration. */
    public long version() {
        return mVersion;
    }

    /** Returns whether there is a configuration. */
    public boolean isKnown() {
        return mVersion > 0;
    }

    /** Returns the limits on callers. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return mByHost.values().stream().mapToInt(List::size).sum();
    }

    /** Finds the route of a host with the longest matching path prefix. */
    public Optional<Route> route(String hostHeader, String path) {
        for (Route r : mByHost.getOrDefault(hostName(hostHeader), List.of())) {
            if (path.startsWith(r.pathPrefix())) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /** Finds a pool by name. */
    public Optional<Pool> pool(String name) {
        return Optional.ofNullable(mPools.get(name));
    }

    /** Returns all pools. */
    public List<Pool> pools() {
        return List.copyOf(mPools.values());
    }

    /** Finds a route by name. */
    Optional<Route> routeNamed(String name) {
        return Optional.ofNullable(mByName.get(name));
    }

    /** Returns whether route names are unique, as changes require. */
    boolean hasDistinctNames() {
        return mByName.size() == routeCount();
    }

    /**
     * Returns an order-independent hash of all routes, pools, teams and limits. Computed lazily.
     */
    public long fingerprint() {
        if (mFingerprint == 0) {
            mFingerprint = ConfigFingerprint.of(this);
        }
        return mFingerprint;
    }

    /**
     * Applies a change; returns empty if it was computed from another configuration or its result
     * does not match its fingerprint.
     */
    public Optional<TrafficConfig> with(ConfigChange change) {
        if (change.before() != mVersion || change.fingerprintBefore() != fingerprint()) {
            return Optional.empty();
        }
        TrafficConfig next = change.applyTo(this);
        next.mFingerprint = change.fingerprintAfter();
        return ConfigFingerprint.after(this, change) == change.fingerprintAfter()
                ? Optional.of(next)
                : Optional.empty();
    }

    /** Returns all routes. */
    public List<Route> routes() {
        return mByHost.values().stream().flatMap(List::stream).toList();
    }

    /** Returns the teams by key. */
    public Map<String, Team> teamsByKey() {
        return mTeamsByKey;
    }

    /** Finds the team of a key. */
    public Optional<Team> team(String key) {
        return Optional.ofNullable(mTeamsByKey.get(key));
    }

    /**
     * Returns whether callers need keys for routes that are not open, even if all keys were
     * revoked.
     */
    public boolean requiresKey() {
        return mLimits.keyRequired() || !mTeamsByKey.isEmpty();
    }

    private static String hostName(String header) {
        int port = header.lastIndexOf(':');
        String name = port < 0 || header.endsWith("]") ? header : header.substring(0, port);
        return name.toLowerCase(Locale.ROOT);
    }
}
