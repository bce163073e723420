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
 * Gathers what was decided on one request, here and at the other daemons that saw it.
 *
 * @since 0.1
 */
public final class Explainer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long WITHIN_MILLIS = 800;

    private final String mHost;
    private final Fleet mFleet;
    private final FleetSync mSync;
    private final DecisionLog mOwn;

    private Explainer(String host, Fleet fleet, FleetSync sync, DecisionLog own) {
        mHost = host;
        mFleet = fleet;
        mSync = sync;
        mOwn = own;
    }

    /** Creates the explainer of one daemon. */
    public static Explainer of(String host, Fleet fleet, FleetSync sync, DecisionLog own) {
        return new Explainer(host, fleet, sync, own);
    }

    /**
     * Returns every daemon's notes on a request in the order of time, and who could not be asked.
     */
    public CompletableFuture<Map<String, Object>> explain(String requestId) {
        List<HostEntry> others =
                mFleet.view().hosts().stream().filter(h -> !h.host().equals(mHost)).toList();
        return mSync.newQuery()
                .ask(requestId, others, WITHIN_MILLIS)
                .thenApply(replies -> merge(requestId, others, replies));
    }

    private Map<String, Object> merge(
            String requestId, List<HostEntry> asked, Map<String, Packet> replies) {
        List<Map<String, Object>> notes = new ArrayList<>();
        for (DecisionLog.Note n : mOwn.of(requestId)) {
            notes.add(note(n.atMillis(), mHost, n.what(), n.where()));
        }
        replies.forEach((host, p) -> notes.addAll(read(host, p.getDecisionReply().getJson())));
        notes.sort(Comparator.comparingLong(n -> (Long) n.get("at_ms")));
        List<String> missing =
                asked.stream().map(HostEntry::host).filter(h -> !replies.containsKey(h)).toList();
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("request", requestId);
        out.put("known", !notes.isEmpty());
        out.put("notes", notes);
        out.put("not_answering", missing);
        return out;
    }

    private static List<Map<String, Object>> read(String host, String json) {
        List<Map<String, Object>> out = new ArrayList<>();
        try {
            List<Map<String, Object>> notes =
                    JSON.readValue(json, new TypeReference<List<Map<String, Object>>>() {});
            for (Map<String, Object> n : notes) {
                long at = ((Number) n.get("at_ms")).longValue();
                out.add(note(at, host, n.get("what").toString(), n.get("where").toString()));
            }
        } catch (JsonProcessingException e) {
            out.add(note(0, host, "reply cannot be read: " + e.getOriginalMessage(), ""));
        }
        return out;
    }

    private static Map<String, Object> note(long at, String daemon, String what, String where) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("at_ms", at);
        m.put("daemon", daemon);
        m.put("what", what);
        m.put("where", where);
        return m;
    }
}
