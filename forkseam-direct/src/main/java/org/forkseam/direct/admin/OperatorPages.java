package org.forkseam.direct.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.forkseam.core.member.Target;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.DecisionLog;
import org.forkseam.direct.know.FleetState;
import org.forkseam.direct.log.Event;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * JSON pages for operators: a state dump, the targets by pool, and the routing decisions on a
 * request. Paths and formats match those that {@code forkseam} reads from every daemon. Used on the
 * event loop.
 *
 * @since 0.3
 */
public final class OperatorPages {
    /** The supported paths, for error messages. */
    static final String PATHS = "/dump, /v1/dump, /v1/fleet, /v1/explain/REQUEST-ID";

    private static final String EXPLAIN = "/v1/explain/";

    private final String mHost;
    private final Clock mClock;
    private final Supplier<Map<String, Object>> mDump;
    private final FleetState mFleetState;
    private final DecisionLog mDecisions;

    private OperatorPages(
            String host,
            Clock clock,
            Supplier<Map<String, Object>> dump,
            FleetState fleetState,
            DecisionLog decisions) {
        mHost = host;
        mClock = clock;
        mDump = dump;
        mFleetState = fleetState;
        mDecisions = decisions;
    }

    /** Creates the pages of a router. */
    public static OperatorPages of(
            String host,
            Clock clock,
            Supplier<Map<String, Object>> dump,
            FleetState fleetState,
            DecisionLog decisions) {
        return new OperatorPages(host, clock, dump, fleetState, decisions);
    }

    /** Returns the page at a path as JSON, or empty if there is none. */
    Optional<byte[]> json(String path) {
        return content(path).flatMap(OperatorPages::write);
    }

    private Optional<Object> content(String path) {
        if (path.startsWith(EXPLAIN)) {
            return Optional.of(explain(path.substring(EXPLAIN.length())));
        }
        return switch (path) {
            case "/dump", "/v1/dump" -> Optional.of(mDump.get());
            case "/v1/fleet" -> Optional.of(fleet(mClock.nowMillis()));
            default -> Optional.empty();
        };
    }

    private static Optional<byte[]> write(Object content) {
        try {
            String json =
                    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(content);
            return Optional.of(json.getBytes(StandardCharsets.UTF_8));
        } catch (JsonProcessingException e) {
            Event.always("page_failed").with("cause", e.getMessage()).log();
            return Optional.empty();
        }
    }

    private Object explain(String requestId) {
        List<Object> notes = new ArrayList<>();
        for (DecisionLog.Note n : mDecisions.of(requestId)) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("at_ms", n.atMillis());
            m.put("daemon", mHost);
            m.put("where", n.where());
            m.put("what", n.what());
            notes.add(m);
        }
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("request", requestId);
        out.put("known", !notes.isEmpty());
        out.put("notes", notes);
        return out;
    }

    private Object fleet(long now) {
        Map<String, Object> pools = new LinkedHashMap<>();
        Map<String, Object> targets = new LinkedHashMap<>();
        for (Pool p : mFleetState.config().pools()) {
            List<String> names = new ArrayList<>();
            long load = 0;
            for (Target t : mFleetState.targets().pool(p.name())) {
                names.add(t.entry().id());
                load += t.inFlight() + t.othersInFlight(now);
                targets.put(t.entry().id(), describe(t, now));
            }
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("total_load", load);
            m.put("targets", names);
            pools.put(p.name(), m);
        }
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("config_version", mFleetState.config().version());
        out.put("evacuated", mFleetState.evacuated());
        out.put("pools", pools);
        out.put("targets", targets);
        return out;
    }

    private static Object describe(Target t, long now) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("failure_domain", t.entry().domain());
        m.put("address", t.entry().address());
        m.put("load", t.inFlight() + t.othersInFlight(now));
        m.put("load_age_ms", t.loadReportAgeMillis(now));
        m.put("capacity", t.entry().slots());
        m.put("health", t.health().trafficShare(now));
        m.put("leaving", !t.isPoolMember());
        m.put("state", t.availability().state(now));
        m.put("evacuated", t.isEvacuated());
        m.put("labels", Map.of("pool", t.entry().pool(), "failure_domain", t.entry().domain()));
        return m;
    }
}
