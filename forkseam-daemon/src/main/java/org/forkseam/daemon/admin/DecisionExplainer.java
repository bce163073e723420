package org.forkseam.daemon.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.forkseam.core.member.HostEntry;
import org.forkseam.core.util.DecisionLog;
import org.forkseam.daemon.share.Fleet;
import org.forkseam.daemon.share.FleetSync;
import org.forkseam.wire.proto.Packet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Collects the decisions on a request from this daemon and its peers. Used on the event loop.
 *
 * @since 0.1
 */
public final class DecisionExplainer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long QUERY_TIMEOUT_MILLIS = 800;

    private final String mHost;
    private final Fleet mFleet;
    private final FleetSync mSync;
    private final DecisionLog mLocalDecisions;

    private DecisionExplainer(
            String host, Fleet fleet, FleetSync sync, DecisionLog localDecisions) {
        mHost = host;
        mFleet = fleet;
        mSync = sync;
        mLocalDecisions = localDecisions;
    }

    /** Creates the explainer of one daemon. */
    public static DecisionExplainer of(
            String host, Fleet fleet, FleetSync sync, DecisionLog localDecisions) {
        return new DecisionExplainer(host, fleet, sync, localDecisions);
    }

    /**
     * Returns the decisions of all daemons on a request, ordered by time, and the hosts that did
     * not reply in time.
     */
    public CompletableFuture<Map<String, Object>> explain(String requestId) {
        List<HostEntry> others =
                mFleet.view().hosts().stream().filter(h -> !h.host().equals(mHost)).toList();
        return mSync.newQuery()
                .ask(requestId, others, QUERY_TIMEOUT_MILLIS)
                .thenApply(replies -> merge(requestId, others, replies));
    }

    private Map<String, Object> merge(
            String requestId, List<HostEntry> queried, Map<String, Packet> replies) {
        List<Map<String, Object>> notes = new ArrayList<>();
        for (DecisionLog.Note n : mLocalDecisions.of(requestId)) {
            notes.add(toEntry(n.atMillis(), mHost, n.what(), n.where()));
        }
        replies.forEach(
                (host, p) -> notes.addAll(parseNotes(host, p.getDecisionReply().getJson())));
        notes.sort(Comparator.comparingLong(n -> (Long) n.get("at_ms")));
        List<String> unanswered =
                queried.stream().map(HostEntry::host).filter(h -> !replies.containsKey(h)).toList();
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("request", requestId);
        out.put("known", !notes.isEmpty());
        out.put("notes", notes);
        out.put("not_answering", unanswered);
        return out;
    }

    private static List<Map<String, Object>> parseNotes(String host, String json) {
        List<Map<String, Object>> out = new ArrayList<>();
        try {
            List<Map<String, Object>> notes =
                    JSON.readValue(json, new TypeReference<List<Map<String, Object>>>() {});
            for (Map<String, Object> n : notes) {
                long at = ((Number) n.get("at_ms")).longValue();
                out.add(toEntry(at, host, n.get("what").toString(), n.get("where").toString()));
            }
        } catch (JsonProcessingException e) {
            out.add(toEntry(0, host, "malformed reply: " + e.getOriginalMessage(), ""));
        }
        return out;
    }

    private static Map<String, Object> toEntry(long at, String daemon, String what, String where) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("at_ms", at);
        m.put("daemon", daemon);
        m.put("what", what);
        m.put("where", where);
        return m;
    }
}
