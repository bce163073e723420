package org.forkseam.core.traffic;

import org.forkseam.core.util.Hashes;

import java.util.List;

/**
 * Declares a route: which requests it takes, which pools serve them, and what is promised.
 *
 * @param name the route's name
 * @param host the host name callers ask for, in lower case
 * @param pathPrefix what the path begins with
 * @param kind what may be repeated
 * @param timeoutMillis longest time a request is held
 * @param latencyMillis time within which an answer is in time
 * @param pauseMillis longest pause between events of a stream that is in time; 0 if not declared
 * @param attempts targets to which one request may be sent
 * @param priority rank, 0 is the most urgent
 * @param open whether requests need no key
 * @param shares the pools that serve the route
 * @param homes regions whose targets may serve it; any if there are none
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

    /** Chooses the pool of a request by its id, so that all routers agree on it. */
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
