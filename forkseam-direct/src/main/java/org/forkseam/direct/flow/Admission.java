package org.forkseam.direct.flow;

import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.RouteKind;
import org.forkseam.core.traffic.Team;
import org.forkseam.core.traffic.TrafficConfig;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Routing decision and limits for an admitted request, taken from the active configuration.
 * Immutable.
 *
 * @param config the active configuration
 * @param route the matched route
 * @param team the caller's team, if the request carried a known key
 * @param pool the pool that serves the request
 * @param deadlineMillis the latest time for the final response, by the router's clock
 */
record Admission(
        TrafficConfig config, Route route, Optional<Team> team, String pool, long deadlineMillis) {
    /** Time reserved for sending the final response before the caller's timeout. */
    private static final long RESPONSE_MARGIN_MILLIS = 60;

    /**
     * Minimum share of the route's latency objective that must remain for an attempt to start.
     * Below this, a response is unlikely to arrive in time.
     */
    private static final double MIN_REMAINING_SHARE = 0.1;

    /**
     * Share of the route's latency objective that a request may wait for a target that is holding
     * off requests. The rest is left for the response.
     */
    private static final double MAX_WAIT_SHARE = 0.5;

    /** Maximum idle time of a pooled connection for retryable requests. */
    private static final long MAX_IDLE_MILLIS = 5_000;

    /**
     * Lower limit for requests that cannot be retried: an old connection may have been closed by
     * the peer.
     */
    private static final long MAX_IDLE_NON_RETRYABLE_MILLIS = 2_000;

    /** Creates the admission of a request that passed the {@link AdmissionCheck}. */
    static Admission of(TrafficConfig config, AdmissionCheck.Admitted p, CallerRequest r) {
        long wait = r.head().timeoutMillis().orElse(Long.MAX_VALUE);
        long held = Math.min(wait, p.route().timeoutMillis());
        long deadline = r.receivedMillis() + held - RESPONSE_MARGIN_MILLIS;
        return new Admission(
                config, p.route(), p.team(), p.route().pool(poolKey(p.route(), r)), deadline);
    }

    /** Returns the id that selects the pool: a resumed stream stays in the pool that began it. */
    private static String poolKey(Route route, CallerRequest r) {
        boolean resumed = route.kind() == RouteKind.RESUMABLE && r.head().lastEventId().isPresent();
        return resumed ? r.head().resumes().orElse(r.id()) : r.id();
    }

    /** Returns the time left until the deadline, at least 1 ms. */
    long remainingMillis(long nowMillis) {
        return Math.max(1, deadlineMillis - nowMillis);
    }

    /** Returns whether the deadline has passed. */
    boolean isExpired(long nowMillis) {
        return nowMillis >= deadlineMillis;
    }

    /** Returns whether enough time is left for another attempt. */
    boolean hasTimeForAttempt(long nowMillis) {
        return deadlineMillis - nowMillis >= MIN_REMAINING_SHARE * route.latencyMillis();
    }

    /**
     * Returns whether a request that arrived at {@code receivedMillis} may wait for a target until
     * {@code untilMillis}.
     */
    boolean mayWait(long receivedMillis, long untilMillis) {
        return untilMillis - receivedMillis <= MAX_WAIT_SHARE * route.latencyMillis();
    }

    /** Returns the request's priority; 0 is the most urgent. */
    int priority() {
        return team.map(Team::priority).orElse(OptionalInt.empty()).orElse(route.priority());
    }

    /** Returns the maximum idle time of a pooled connection that may carry the request. */
    long maxIdleMillis() {
        return route.kind().isRepeatable() ? MAX_IDLE_MILLIS : MAX_IDLE_NON_RETRYABLE_MILLIS;
    }
}
