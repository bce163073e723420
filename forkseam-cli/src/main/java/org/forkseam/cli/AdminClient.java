package org.forkseam.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;

import org.forkseam.platform.http.NoDns;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Speaks to the operators' port of one daemon, one request at a time. */
final class AdminClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int UNAUTHORIZED = 401;
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final String mAddress;
    private final String mKey;

    /**
     * Holds an answer.
     *
     * @param status HTTP status
     * @param body its JSON, or a text node
     */
    record Answer(int status, JsonNode body) {}

    AdminClient(String address, String key) {
        mAddress = address;
        mKey = key;
    }

    Answer get(String path) throws CliException {
        return send(HttpRequest.get(url(path)));
    }

    Answer post(String path, JsonNode body) throws CliException {
        byte[] data = body.toString().getBytes(StandardCharsets.UTF_8);
        return send(HttpRequest.post(url(path)).withBody(data));
    }

    private String url(String path) {
        return "http://" + mAddress + path;
    }

    private Answer send(HttpRequest.Builder request) throws CliException {
        HttpRequest r = request.withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + mKey).build();
        Eventloop loop = Eventloop.builder().withCurrentThread().build();
        HttpClient client =
                HttpClient.builder(loop, new NoDns())
                        .withConnectTimeout(TIMEOUT)
                        .withReadWriteTimeout(TIMEOUT)
                        .withNoKeepAlive()
                        .build();
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        client.request(r)
                .then(h -> h.loadBody(MAX_BODY_BYTES).map(b -> read(h.getCode(), b.getArray())))
                .subscribe(
                        (a, e) -> {
                            if (e == null) {
                                answer.complete(a);
                            } else {
                                answer.completeExceptionally(e);
                            }
                        });
        loop.run();
        try {
            return checked(answer.get());
        } catch (ExecutionException e) {
            throw new CliException(
                    ExitCode.UNREACHABLE,
                    "daemon " + mAddress + " cannot be reached: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.UNREACHABLE, "interrupted");
        }
    }

    private Answer checked(Answer a) throws CliException {
        if (a.status() == UNAUTHORIZED) {
            throw new CliException(
                    ExitCode.REFUSED,
                    "daemon " + mAddress + ": " + a.body().path("error").asText());
        }
        return a;
    }

    private static Answer read(int status, byte[] body) throws IOException {
        String text = new String(body, StandardCharsets.UTF_8);
        boolean json = text.startsWith("{") || text.startsWith("[");
        return new Answer(
                status, json ? JSON.readTree(text) : JSON.getNodeFactory().textNode(text));
    }
}
