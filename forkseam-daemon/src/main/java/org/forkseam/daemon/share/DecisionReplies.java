package org.forkseam.daemon.share;

import com.fasterxml.jackson.databind.node.ArrayNode;

import org.forkseam.core.util.DecisionLog;
import org.forkseam.platform.http.PlatformHttpClient;
import org.forkseam.wire.proto.DecisionQuery;
import org.forkseam.wire.proto.DecisionReply;

/** Builds replies to queries of other daemons for decisions on a request. Stateless. */
final class DecisionReplies {
    private DecisionReplies() {}

    static DecisionReply replyTo(DecisionQuery query, DecisionLog log) {
        ArrayNode list = PlatformHttpClient.JSON.createArrayNode();
        for (DecisionLog.Note n : log.of(query.getRequestId())) {
            list.addObject()
                    .put("at_ms", n.atMillis())
                    .put("what", n.what())
                    .put("where", n.where());
        }
        return DecisionReply.newBuilder()
                .setQuery(query.getQuery())
                .setJson(list.toString())
                .build();
    }
}
