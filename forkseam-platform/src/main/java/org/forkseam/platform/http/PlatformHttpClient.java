package org.forkseam.platform.http;

import com.fasterxml.jackson.databind.ObjectMapper;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.schedule.ScheduledRunnable;

import org.forkseam.platform.PlatformException;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * HTTP client for platform services that buffers complete responses.
 *
 * <p>Not thread-safe: must be used on its event loop, where futures complete.
 *
 * @since 0.1
 */
public final class PlatformHttpClient {
    /** Shared JSON mapper; thread-safe. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final HttpClient mClient;
    private final Eventloop mEventloop;
    private final long mTimeoutMillis;

    /**
     * A buffered response.
     *
     * @param status HTTP status
     * @param body response body
     * @param retryAfterMillis delay of the {@code Retry-After} header, or 0
     * @param etag {@code ETag} of the content, or empty
     */
    public record Response(int status, byte[] body, long retryAfterMillis, String etag) {}

    private PlatformHttpClient(HttpClient client, Eventloop eventloop, long timeoutMillis) {
        mClient = client;
        mEventloop = eventloop;
        mTimeoutMillis = timeoutMillis;
    }

    /** Creates a client with a timeout per request. */
    public static PlatformHttpClient of(Eventloop eventloop, Duration timeout) {
        HttpClient client =
                HttpClient.builder(eventloop, new IpLiteralDnsClient())
                        .withConnectTimeout(timeout)
                        .withReadWriteTimeout(timeout)
                        .withKeepAliveTimeout(Duration.ofSeconds(30))
                        .withMaxBodySize(MAX_BODY_BYTES)
                        .build();
        return new PlatformHttpClient(client, eventloop, timeout.toMillis());
    }

    /** Sends a conditional GET; the status is 304 if the content still has the given ETag. */
    public CompletableFuture<Response> getIfChanged(String service, String url, String etag) {
        HttpRequest.Builder b = HttpRequest.get(url);
        if (!etag.isEmpty()) {
            b.withHeader(HttpHeaders.IF_NONE_MATCH, etag);
        }
        return send(service, b);
    }

    /** Sends a request; the future fails on a timeout or a status of 500 or above. */
    public CompletableFuture<Response> send(
            String service, HttpMethod method, String url, byte[] body) {
        HttpRequest.Builder b = HttpRequest.builder(method, url);
        if (body != null) {
            b.withBody(body).withHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        }
        return send(service, b);
    }

    private CompletableFuture<Response> send(String service, HttpRequest.Builder b) {
        CompletableFuture<Response> done = new CompletableFuture<>();
        ScheduledRunnable timeout =
                mEventloop.delayBackground(
                        mTimeoutMillis,
                        () ->
                                done.completeExceptionally(
                                        new PlatformException(service, "no answer in time")));
        Promise<HttpResponse> sent = mClient.request(b.build());
        sent.then(r -> r.loadBody(MAX_BODY_BYTES).map(buf -> toResponse(r, buf)))
                .subscribe(
                        (a, e) -> {
                            if (e != null) {
                                done.completeExceptionally(new PlatformException(service, e));
                            } else if (a.status() >= MIN_SERVER_ERROR_STATUS) {
                                done.completeExceptionally(
                                        new PlatformException(service, "status " + a.status()));
                            } else {
                                done.complete(a);
                            }
                        });
        done.whenComplete((a, e) -> timeout.cancel());
        return done;
    }

    private static Response toResponse(HttpResponse r, ByteBuf buf) {
        long after = retryAfterMillis(Optional.ofNullable(r.getHeader(HttpHeaders.RETRY_AFTER)));
        String etag = Optional.ofNullable(r.getHeader(HttpHeaders.ETAG)).orElse("");
        return new Response(r.getCode(), buf.getArray(), after, etag);
    }

    private static long retryAfterMillis(Optional<String> text) {
        return text.filter(t -> t.matches("[0-9]{1,6}"))
                .map(t -> Long.parseLong(t) * 1000)
                .orElse(0L);
    }

    /** Closes the client and its keep-alive connections. */
    public void stop() {
        mClient.stop();
    }

    /** Returns the header with the given name, for use in custom requests. */
    public static HttpHeader header(String name) {
        return HttpHeaders.of(name);
    }
}
