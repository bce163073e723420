package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.Team;
import org.forkseam.core.traffic.TrafficConfig;

import java.util.Optional;

/** Decides by the configuration whether a request may pass at all. Pure. */
final class AdmissionCheck {
    private AdmissionCheck() {}

    /** Is what the configuration says of a request. */
    sealed interface Decision {}

    /**
     * Lets a request pass.
     *
     * @param route its route
     * @param team the team of its caller, if it brought a key
     */
    record Admitted(Route route, Optional<Team> team) implements Decision {}

    /**
     * Turns a request away.
     *
     * @param status the answer's status
     * @param why the reason
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
        boolean needsKey = config.hasTeams() && !route.get().open();
        if (needsKey && team.isEmpty()) {
            return new Rejected(HttpResponseStatus.UNAUTHORIZED, "key is not known");
        }
        return new Admitted(route.get(), team);
    }
}
