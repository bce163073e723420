package org.forkseam.direct.flow;

import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.Team;
import org.forkseam.core.traffic.TrafficConfig;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Holds what the configuration in force says of a request that it lets pass. Immutable.
 *
 * @param config the configuration
 * @param route the request's route
 * @param team the caller's team, if it brought a key
 * @param pool the pool that serves the request
 * @param deadlineMillis when the final answer goes out at the latest, by the router's clock
 */
record Admission(
        TrafficConfig config, Route route, Optional<Team> team, String pool, long deadlineMillis) {
    /** The final answer goes out so long before the caller stops waiting. */
    private static final long RESPONSE_MARGIN_MILLIS = 60;

    /**
     * Share of its objective that a request must have left to be sent: with less, an answer hardly
     * comes before the caller gives up, and the target works in vain. Origin: the operators, who do
     * not count such an attempt as one; what it saves was not measured.
     */
    private static final double MIN_REMAINING_SHARE = 0.1;

    /**
     * Share of its objective within which a request waits for a target that has asked for a while
     * without requests, where no other is left: as much is left for the answer. In the model of a
     * small pool that asks for 60 ms to 3 s, or is full in a burst, up to 5 of 100 requests more
     * are in time than if all are refused at once, and at most 1 of 100 fewer; waiting up to the
     * deadline costs a burst two thirds of those in time.
     */
    private static final double MAX_WAIT_SHARE = 0.5;

    /** Kept connections that were idle for longer are not used for what can be repeated. */
    private static final long MAX_IDLE_MILLIS = 5_000;

    /** A kept connection may have been forgotten: what cannot be repeated avoids old ones. */
    private static final long MAX_IDLE_NON_RETRYABLE_MILLIS = 2_000;

    /** Creates what a configuration says of a request that has passed its checks. */
    static Admission of(TrafficConfig config, AdmissionCheck.Admitted p, CallerRequest r) {
        long wait = r.head().timeoutMillis().orElse(Long.MAX_VALUE);
        long held = Math.min(wait, p.route().timeoutMillis());
        long deadline = r.receivedMillis() + held - RESPONSE_MARGIN_MILLIS;
        return new Admission(config, p.route(), p.team(), p.route().pool(r.id()), deadline);
    }

    /** Returns the milliseconds left until the final answer is due, at least 1. */
    long remainingMillis(long nowMillis) {
        return Math.max(1, deadlineMillis - nowMillis);
    }

    /** Returns whether the final answer is due. */
    boolean isExpired(long nowMillis) {
        return nowMillis >= deadlineMillis;
    }

    /** Returns whether there is time left for an answer of a target. */
    boolean hasTimeForAttempt(long nowMillis) {
        return deadlineMillis - nowMillis >= MIN_REMAINING_SHARE * route.latencyMillis();
    }

    /** Returns whether a request received at one moment may wait until another for a target. */
    boolean mayWait(long receivedMillis, long untilMillis) {
        return untilMillis - receivedMillis <= MAX_WAIT_SHARE * route.latencyMillis();
    }

    /** Returns the request's rank; 0 is the most urgent. */
    int priority() {
        return team.map(Team::priority).orElse(OptionalInt.empty()).orElse(route.priority());
    }

    /** Returns for how long a kept connection may have been idle that carries the request. */
    long maxIdleMillis() {
        return route.kind().isRepeatable() ? MAX_IDLE_MILLIS : MAX_IDLE_NON_RETRYABLE_MILLIS;
    }
}
