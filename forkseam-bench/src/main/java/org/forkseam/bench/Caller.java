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

/** Calls a router as a desk's program would, with the platform's own HTTP client. Thread-safe. */
public final class Caller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * Holds an answer as the caller sees it.
     *
     * @param status HTTP status; 0 if the connection broke
     * @param headers the answer's headers
     * @param text the model's text, or the body of a plain answer
     * @param whole whether the answer came to its regular end
     */
    public record Answer(
            int status, Map<String, List<String>> headers, String text, boolean whole) {
        /** Returns a header of forkseam's, or empty text. */
        public String header(String name) {
            return headers.getOrDefault("forkseam-" + name, List.of("")).get(0);
        }
    }

    /** Holds one message of a chat. */
    public record Message(String role, String content) {}

    /** Returns the body of a chat request. */
    public static String body(String model, List<Message> messages, int tokens, boolean stream) {
        ObjectNode n = JSON.createObjectNode().put("model", model).put("max_tokens", tokens);
        n.put("stream", stream);
        ArrayNode list = n.putArray("messages");
        messages.forEach(m -> list.addObject().put("role", m.role()).put("content", m.content()));
        return n.toString();
    }

    /** Sends a chat and reads the whole answer, streamed or not. */
    public Answer chat(InetSocketAddress router, String body, Map<String, String> headers)
            throws InterruptedException {
        return send(router, "POST", "/v1/chat/completions", body, headers);
    }

    /**
     * Holds an answer with the time to its first line.
     *
     * @param answer the answer
     * @param firstMicros microseconds from sending to the first line
     */
    public record Timed(Answer answer, long firstMicros) {
        /** Returns milliseconds to the first line. */
        public long firstMillis() {
            return firstMicros / 1000;
        }
    }

    /** Sends a chat and notes when its answer began. */
    public Timed timed(InetSocketAddress router, String body, Map<String, String> headers)
            throws InterruptedException {
        long[] first = {0};
        long start = System.nanoTime();
        Answer a = send(router, "POST", "/v1/chat/completions", body, headers, () -> note(first));
        return new Timed(a, (Math.max(first[0], start) - start) / 1000);
    }

    private static void note(long[] first) {
        if (first[0] == 0) {
            first[0] = System.nanoTime();
        }
    }

    /** Sends any request and reads the whole answer. */
    public Answer send(
            InetSocketAddress router,
            String method,
            String path,
            String body,
            Map<String, String> headers)
            throws InterruptedException {
        return send(router, method, path, body, headers, () -> {});
    }

    private Answer send(
            InetSocketAddress router,
            String method,
            String path,
            String body,
            Map<String, String> headers,
            Runnable onLine)
            throws InterruptedException {
        HttpRequest.Builder b =
                HttpRequest.newBuilder(URI.create("http://" + LocalFleet.text(router) + path))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach((k, v) -> b.header("Forkseam-" + k, v));
        List<String> lines = new ArrayList<>();
        HttpResponse<Stream<String>> r;
        try {
            r = mClient.send(b.build(), HttpResponse.BodyHandlers.ofLines());
        } catch (IOException e) {
            return new Answer(0, Map.of(), e.toString(), false);
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
        return read(r, lines, broken);
    }

    private static Answer read(HttpResponse<?> r, List<String> lines, boolean broken) {
        Map<String, List<String>> headers = r.headers().map();
        boolean events =
                r.headers().firstValue("content-type").orElse("").startsWith("text/event-stream");
        if (events) {
            return readEvents(r.statusCode(), headers, lines, broken);
        }
        String text = String.join("\n", lines);
        return new Answer(r.statusCode(), headers, content(text).orElse(text), !broken);
    }

    private static Answer readEvents(
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
        return new Answer(status, headers, text.toString(), done && !broken);
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
            throw new IllegalStateException("not JSON: " + json, e);
        }
    }
}
