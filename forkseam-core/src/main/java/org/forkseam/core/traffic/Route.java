package org.forkseam.core.traffic;

import org.forkseam.core.util.Hashes;

import java.util.List;

/**
 * Declaration of a route: the requests that it matches, the pools that serve them, and its
 * objectives.
 *
 * @param name the route's name
 * @param host host name that callers request, in lower case
 * @param pathPrefix prefix of the request path
 * @param kind whether requests may be repeated
 * @param timeoutMillis maximum duration of a request
 * @param latencyMillis latency objective
 * @param pauseMillis objective for the longest pause between events of a stream; 0 if none
 * @param attempts maximum number of attempts per request
 * @param priority priority, 0 being the most urgent
 * @param open whether requests need no key
 * @param shares pools that serve the route
 * @param homes regions whose targets may serve the route; any if empty
 * @since 0.2
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long latencyMillis,
        long pauseMillis,
        int attempts,
        int priority,
        boolean open,
        List<PoolShare> shares,
        List<String> homes) {

    /** Returns a hash of all fields. */
    public long fingerprint() {
        StringBuilder b = new StringBuilder(name).append('|').append(host).append('|');
        b.append(pathPrefix).append('|').append(kind.ordinal()).append('|').append(timeoutMillis);
        b.append('|').append(latencyMillis).append('|').append(pauseMillis).append('|');
        b.append(attempts).append('|').append(priority).append('|').append(open);
        for (PoolShare s : shares) {
            b.append('|').append(s.pool()).append('=').append(s.weight());
        }
        b.append('|').append(String.join(",", homes));
        return Hashes.of(b.toString());
    }

    /**
     * Returns the pool of a request, derived from its id so that all routers choose the same one.
     */
    public String pool(String requestId) {
        if (shares.size() == 1) {
            return shares.get(0).pool();
        }
        long total = shares.stream().mapToLong(PoolShare::weight).sum();
        long point = total <= 0 ? 0 : Long.remainderUnsigned(Hashes.of(requestId), total);
        for (PoolShare s : shares) {
            point -= s.weight();
            if (point < 0) {
                return s.pool();
            }
        }
        return shares.get(0).pool();
    }
}
