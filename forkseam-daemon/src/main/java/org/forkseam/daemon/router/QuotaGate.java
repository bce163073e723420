package org.forkseam.daemon.router;

import org.forkseam.core.admit.TokenBucket;
import org.forkseam.core.cfg.TeamSpec;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Holds each team to its hard quota. The quota is shared evenly among the routers that the host
 * list shows. Used on the event loop.
 */
final class QuotaGate {
    private final Map<String, TokenBucket> mBuckets = new HashMap<>();

    /** Takes a request through, or returns in how many milliseconds the next one may come. */
    OptionalLong refuse(TeamSpec team, int routers, long nowMillis) {
        if (team.requestsPerSecond() <= 0) {
            return OptionalLong.empty();
        }
        double share = 1.0 / Math.max(1, routers);
        double rate = team.requestsPerSecond() * share;
        double burst = Math.max(1, team.burst() * share);
        TokenBucket b =
                mBuckets.computeIfAbsent(team.name(), k -> TokenBucket.of(rate, burst, nowMillis));
        b.set(rate, burst, nowMillis);
        return b.tryTake(nowMillis)
                ? OptionalLong.empty()
                : OptionalLong.of(b.waitMillis(nowMillis));
    }
}
