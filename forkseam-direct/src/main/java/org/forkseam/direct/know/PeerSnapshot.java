package org.forkseam.direct.know;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.forkseam.core.member.Evacuations;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.Team;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.direct.spi.SharedRow;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * State of one router, sent as JSON to another that has just started and cannot reach the store.
 * Immutable.
 *
 * @param version version of the configuration
 * @param routes routes of the configuration
 * @param pools pools of the configuration
 * @param teams teams of the configuration, by key
 * @param limits caller limits of the configuration
 * @param listPosition store position of the list of targets
 * @param targets the list of targets
 * @param rows rows that routers share, including the shard tables of engine pools
 * @param evacuations evacuated failure domains
 */
record PeerSnapshot(
        long version,
        List<Route> routes,
        List<Pool> pools,
        Map<String, KeyTeam> teams,
        CallerLimits limits,
        StorePosition listPosition,
        List<TargetEntry> targets,
        List<SharedRow> rows,
        KnownEvacuations evacuations) {

    private static final int NO_PRIORITY = -1;

    /** Field of the limits that routers of datagram format 7 and before do not send. */
    private static final String KEY_REQUIRED = "keyRequired";

    /**
     * Evacuated failure domains.
     *
     * @param position store position at which they are known
     * @param domains their names
     */
    record KnownEvacuations(StorePosition position, List<String> domains) {
        static KnownEvacuations of(Evacuations e) {
            return new KnownEvacuations(e.position(), List.copyOf(e.domains()));
        }
    }

    /**
     * JSON form of a team.
     *
     * @param name name of the team
     * @param priority its priority, or -1 for none
     * @param homes its home regions
     */
    record KeyTeam(String name, int priority, List<String> homes) {}

    static PeerSnapshot of(
            TrafficConfig c,
            StorePosition listPosition,
            List<TargetEntry> targets,
            List<SharedRow> rows,
            Evacuations evacuations) {
        Map<String, KeyTeam> teams = new HashMap<>();
        c.teamsByKey()
                .forEach(
                        (k, t) ->
                                teams.put(
                                        k,
                                        new KeyTeam(
                                                t.name(),
                                                t.priority().orElse(NO_PRIORITY),
                                                t.homes())));
        return new PeerSnapshot(
                c.version(),
                c.routes(),
                c.pools(),
                teams,
                c.limits(),
                listPosition,
                targets,
                rows,
                KnownEvacuations.of(evacuations));
    }

    TrafficConfig config() {
        Map<String, Team> byKey = new HashMap<>();
        teams.forEach(
                (k, t) -> {
                    OptionalInt priority =
                            t.priority() == NO_PRIORITY
                                    ? OptionalInt.empty()
                                    : OptionalInt.of(t.priority());
                    byKey.put(k, new Team(t.name(), priority, t.homes()));
                });
        return TrafficConfig.of(version, routes, pools, byKey, limits);
    }

    byte[] write() {
        try {
            return new ObjectMapper().writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize peer snapshot", e);
        }
    }

    /**
     * Reads a snapshot.
     *
     * @throws IOException if it is malformed, or of a router that does not tell a configuration
     *     without teams from one whose teams have no keys
     */
    static PeerSnapshot read(byte[] json) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        JsonNode doc = mapper.readTree(json);
        PeerSnapshot s = mapper.treeToValue(doc, PeerSnapshot.class);
        if (s == null || s.teams() == null || s.limits() == null) {
            throw new IOException("peer snapshot lacks teams or limits");
        }
        if (!doc.path("limits").path(KEY_REQUIRED).isBoolean() && s.teams().isEmpty()) {
            throw new IOException("peer snapshot does not tell whether keys are required");
        }
        return s;
    }
}
