package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.Team;
import org.forkseam.core.traffic.TrafficConfig;

import java.util.Optional;

/** Checks a request against the configuration. Stateless. */
final class AdmissionCheck {
    private AdmissionCheck() {}

    /** Result of the check. */
    sealed interface Decision {}

    /**
     * The request is admitted.
     *
     * @param route the matched route
     * @param team the caller's team, if the request carried a known key
     */
    record Admitted(Route route, Optional<Team> team) implements Decision {}

    /**
     * The request is rejected.
     *
     * @param status the response status
     * @param reason the reason sent to the caller
     */
    record Rejected(HttpResponseStatus status, String reason) implements Decision {}

    static Decision check(TrafficConfig config, CallerRequest r) {
        Optional<String> malformed = r.head().malformed();
        if (malformed.isPresent()) {
            return new Rejected(
                    HttpResponseStatus.BAD_REQUEST, malformed.get() + " cannot be read");
        }
        if (r.head().requestId().isEmpty()) {
            return new Rejected(HttpResponseStatus.BAD_REQUEST, "request without an id");
        }
        String host = r.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = config.route(host, r.path());
        if (route.isEmpty()) {
            return new Rejected(HttpResponseStatus.NOT_FOUND, "no route for " + host + r.path());
        }
        Optional<Team> team = r.head().key().flatMap(config::team);
        boolean needsKey = config.requiresKey() && !route.get().open();
        if (needsKey && team.isEmpty()) {
            return new Rejected(HttpResponseStatus.UNAUTHORIZED, "key is not known");
        }
        return new Admitted(route.get(), team);
    }
}
