package org.forkseam.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Client of a router, based on the JDK's HTTP client. Thread-safe. */
public final class RouterClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * A response as received by the client.
     *
     * @param status HTTP status; 0 if the connection broke
     * @param headers response headers
     * @param text generated text of a chat, or the response body
     * @param complete whether the response ended regularly
     */
    public record Response(
            int status, Map<String, List<String>> headers, String text, boolean complete) {
        /** Returns the value of a {@code Forkseam-} header, or an empty string. */
        public String header(String name) {
            return headers.getOrDefault("forkseam-" + name, List.of("")).get(0);
        }
    }

    /** A message of a chat. */
    public record Message(String role, String content) {}

    /** Returns the body of a chat request. */
    public static String chatBody(
            String model, List<Message> messages, int tokens, boolean stream) {
        ObjectNode n = JSON.createObjectNode().put("model", model).put("max_tokens", tokens);
        n.put("stream", stream);
        ArrayNode list = n.putArray("messages");
        messages.forEach(m -> list.addObject().put("role", m.role()).put("content", m.content()));
        return n.toString();
    }

    /** Sends a chat and reads the complete response, streamed or not. */
    public Response chat(InetSocketAddress router, String body, Map<String, String> headers)
            throws InterruptedException {
        return send(router, "POST", "/v1/chat/completions", body, headers);
    }

    /**
     * A response with the time to its first line.
     *
     * @param response the response
     * @param firstLineMicros time from sending to the first line in microseconds
     */
    public record TimedResponse(Response response, long firstLineMicros) {
        /** Returns the time to the first line in milliseconds. */
        public long firstLineMillis() {
            return firstLineMicros / 1000;
        }
    }

    /** Sends a chat and measures the time to the first line of the response. */
    public TimedResponse chatTimed(
            InetSocketAddress router, String body, Map<String, String> headers)
            throws InterruptedException {
        long[] first = {0};
        long start = System.nanoTime();
        Response a =
                send(
                        router,
                        "POST",
                        "/v1/chat/completions",
                        body,
                        headers,
                        () -> recordFirstLine(first));
        return new TimedResponse(a, (Math.max(first[0], start) - start) / 1000);
    }

    private static void recordFirstLine(long[] first) {
        if (first[0] == 0) {
            first[0] = System.nanoTime();
        }
    }

    /** Sends a request and reads the complete response. */
    public Response send(
            InetSocketAddress router,
            String method,
            String path,
            String body,
            Map<String, String> headers)
            throws InterruptedException {
        return send(router, method, path, body, headers, () -> {});
    }

    private Response send(
            InetSocketAddress router,
            String method,
            String path,
            String body,
            Map<String, String> headers,
            Runnable onLine)
            throws InterruptedException {
        HttpRequest.Builder b =
                HttpRequest.newBuilder(URI.create("http://" + LocalFleet.toHostPort(router) + path))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach((k, v) -> b.header("Forkseam-" + k, v));
        List<String> lines = new ArrayList<>();
        HttpResponse<Stream<String>> r;
        try {
            r = mClient.send(b.build(), HttpResponse.BodyHandlers.ofLines());
        } catch (IOException e) {
            return new Response(0, Map.of(), e.toString(), false);
        }
        boolean broken = false;
        try (var all = r.body()) {
            all.forEach(
                    line -> {
                        onLine.run();
                        lines.add(line);
                    });
        } catch (UncheckedIOException e) {
            broken = true;
        }
        return toResponse(r, lines, broken);
    }

    private static Response toResponse(HttpResponse<?> r, List<String> lines, boolean broken) {
        Map<String, List<String>> headers = r.headers().map();
        boolean events =
                r.headers().firstValue("content-type").orElse("").startsWith("text/event-stream");
        if (events) {
            return parseEvents(r.statusCode(), headers, lines, broken);
        }
        String text = String.join("\n", lines);
        return new Response(r.statusCode(), headers, content(text).orElse(text), !broken);
    }

    private static Response parseEvents(
            int status, Map<String, List<String>> headers, List<String> lines, boolean broken) {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        for (String line : lines) {
            if (line.equals("data: [DONE]")) {
                done = true;
            } else if (line.startsWith("data: ")) {
                text.append(delta(line.substring("data: ".length())));
            }
        }
        return new Response(status, headers, text.toString(), done && !broken);
    }

    private static String delta(String json) {
        return parse(json).path("choices").path(0).path("delta").path("content").asText();
    }

    private static Optional<String> content(String json) {
        if (!json.startsWith("{")) {
            return Optional.empty();
        }
        JsonNode c = parse(json).path("choices").path(0).path("message").path("content");
        return c.isTextual() ? Optional.of(c.asText()) : Optional.empty();
    }

    private static JsonNode parse(String json) {
        try {
            return JSON.readTree(json);
        } catch (IOException e) {
            throw new IllegalStateException("invalid JSON: " + json, e);
        }
    }
}
