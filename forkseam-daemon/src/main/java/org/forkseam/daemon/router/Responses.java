package org.forkseam.daemon.router;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;

import org.forkseam.core.member.FleetView;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.OutcomeKind;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Builds responses that the router itself generates. Stateless. */
final class Responses {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;

    private Responses() {}

    /** Builds an error response in the format of the OpenAI API. */
    static HttpResponse.Builder error(int status, String code, String message) {
        return HttpResponse.ofCode(status).withJson(errorJson(code, message));
    }

    static String errorJson(String code, String message) {
        ObjectNode o = JSON.createObjectNode();
        o.putObject("error")
                .put("message", message)
                .put("type", "forkseam_error")
                .put("code", code)
                .putNull("param");
        return o.toString();
    }

    /** Lists the models served by targets, in the format of the OpenAI API. */
    static HttpResponse.Builder models(FleetView fleet) {
        ObjectNode o = JSON.createObjectNode().put("object", "list");
        ArrayNode data = o.putArray("data");
        fleet.targets().stream()
                .flatMap(t -> t.labels().get("model").stream())
                .distinct()
                .sorted()
                .forEach(m -> data.addObject().put("id", m).put("object", "model"));
        return HttpResponse.ok200().withJson(o.toString());
    }

    /** Builds the response to a request that was refused or failed. */
    static HttpResponse.Builder failure(AttemptFailure r) {
        int status = r.reason().status();
        if (r.kind() != OutcomeKind.NOT_RUN && status == SERVICE_UNAVAILABLE) {
            status = BAD_GATEWAY; // 503 would imply that the request has not run
        }
        HttpResponse.Builder b = error(status, code(r), message(r));
        b.withHeader(CallerHeaders.OUTCOME, outcome(r.kind()));
        if (r.retryAfterMillis() > 0) {
            long seconds = Math.max(1, Math.round(r.retryAfterMillis() / 1000.0));
            b.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds));
            b.withHeader(CallerHeaders.RETRY_AFTER_MS, Long.toString(r.retryAfterMillis()));
        }
        return b;
    }

    static String outcome(OutcomeKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static String code(AttemptFailure r) {
        return r.reason().name().toLowerCase(Locale.ROOT);
    }

    static String message(AttemptFailure r) {
        String text = r.reason().text() + " (outcome: " + outcome(r.kind()) + ")";
        return r.detail().isEmpty() ? text : text + ": " + r.detail();
    }

    /** Builds the server-sent event that reports an aborted stream. */
    static byte[] errorEvent(AttemptFailure r) {
        String json = errorJson(code(r), message(r));
        return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
