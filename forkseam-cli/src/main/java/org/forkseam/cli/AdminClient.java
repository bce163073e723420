package org.forkseam.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;

import org.forkseam.platform.http.IpLiteralDnsClient;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Blocking client of a daemon's admin API. Not thread-safe. */
final class AdminClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int UNAUTHORIZED = 401;
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final String mAddress;
    private final String mKey;

    /**
     * A response.
     *
     * @param status HTTP status
     * @param body JSON body, or a text node for any other content
     */
    record Response(int status, JsonNode body) {}

    AdminClient(String address, String key) {
        mAddress = address;
        mKey = key;
    }

    Response get(String path) throws CliException {
        return send(HttpRequest.get(url(path)));
    }

    Response post(String path, JsonNode body) throws CliException {
        byte[] data = body.toString().getBytes(StandardCharsets.UTF_8);
        return send(HttpRequest.post(url(path)).withBody(data));
    }

    private String url(String path) {
        return "http://" + mAddress + path;
    }

    private Response send(HttpRequest.Builder request) throws CliException {
        HttpRequest r = request.withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + mKey).build();
        Eventloop loop = Eventloop.builder().withCurrentThread().build();
        HttpClient client =
                HttpClient.builder(loop, new IpLiteralDnsClient())
                        .withConnectTimeout(TIMEOUT)
                        .withReadWriteTimeout(TIMEOUT)
                        .withNoKeepAlive()
                        .build();
        CompletableFuture<Response> response = new CompletableFuture<>();
        client.request(r)
                .then(h -> h.loadBody(MAX_BODY_BYTES).map(b -> parse(h.getCode(), b.getArray())))
                .subscribe(
                        (a, e) -> {
                            if (e == null) {
                                response.complete(a);
                            } else {
                                response.completeExceptionally(e);
                            }
                        });
        loop.run();
        try {
            return requireAuthorized(response.get());
        } catch (ExecutionException e) {
            throw new CliException(
                    ExitCode.UNREACHABLE,
                    "daemon " + mAddress + " cannot be reached: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.UNREACHABLE, "interrupted");
        }
    }

    private Response requireAuthorized(Response a) throws CliException {
        if (a.status() == UNAUTHORIZED) {
            throw new CliException(
                    ExitCode.REFUSED,
                    "daemon " + mAddress + ": " + a.body().path("error").asText());
        }
        return a;
    }

    private static Response parse(int status, byte[] body) throws IOException {
        String text = new String(body, StandardCharsets.UTF_8);
        boolean json = text.startsWith("{") || text.startsWith("[");
        return new Response(
                status, json ? JSON.readTree(text) : JSON.getNodeFactory().textNode(text));
    }
}
