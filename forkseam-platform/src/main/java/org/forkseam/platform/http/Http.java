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
 * Sends small requests to a service of the platform and reads their answers whole.
 *
 * <p>To be used on the event loop it was created with; futures complete there.
 *
 * @since 0.1
 */
public final class Http {
    /** Reads and writes JSON; thread-safe. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int ERROR_STATUS = 500;

    private final HttpClient mClient;
    private final Eventloop mEventloop;
    private final long mTimeoutMillis;

    /**
     * Holds an answer read whole.
     *
     * @param status the HTTP status
     * @param body the body
     * @param retryAfterMillis from Retry-After, or 0
     * @param etag names the content's version, or empty
     */
    public record Answer(int status, byte[] body, long retryAfterMillis, String etag) {}

    private Http(HttpClient client, Eventloop eventloop, long timeoutMillis) {
        mClient = client;
        mEventloop = eventloop;
        mTimeoutMillis = timeoutMillis;
    }

    /** Creates a sender with a time limit for each request. */
    public static Http of(Eventloop eventloop, Duration timeout) {
        HttpClient client =
                HttpClient.builder(eventloop, new NoDns())
                        .withConnectTimeout(timeout)
                        .withReadWriteTimeout(timeout)
                        .withKeepAliveTimeout(Duration.ofSeconds(30))
                        .withMaxBodySize(MAX_BODY_BYTES)
                        .build();
        return new Http(client, eventloop, timeout.toMillis());
    }

    /** Reads what a URL holds; status 304 if it is still of the version named by the ETag. */
    public CompletableFuture<Answer> getIfChanged(String service, String url, String etag) {
        HttpRequest.Builder b = HttpRequest.get(url);
        if (!etag.isEmpty()) {
            b.withHeader(HttpHeaders.IF_NONE_MATCH, etag);
        }
        return send(service, b);
    }

    /** Sends a request; the future fails when no answer came in time, or one of status 500 up. */
    public CompletableFuture<Answer> send(
            String service, HttpMethod method, String url, byte[] body) {
        HttpRequest.Builder b = HttpRequest.builder(method, url);
        if (body != null) {
            b.withBody(body).withHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        }
        return send(service, b);
    }

    private CompletableFuture<Answer> send(String service, HttpRequest.Builder b) {
        CompletableFuture<Answer> done = new CompletableFuture<>();
        ScheduledRunnable timeout =
                mEventloop.delayBackground(
                        mTimeoutMillis,
                        () ->
                                done.completeExceptionally(
                                        new PlatformException(service, "no answer in time")));
        Promise<HttpResponse> sent = mClient.request(b.build());
        sent.then(r -> r.loadBody(MAX_BODY_BYTES).map(buf -> answer(r, buf)))
                .subscribe(
                        (a, e) -> {
                            if (e != null) {
                                done.completeExceptionally(new PlatformException(service, e));
                            } else if (a.status() >= ERROR_STATUS) {
                                done.completeExceptionally(
                                        new PlatformException(service, "status " + a.status()));
                            } else {
                                done.complete(a);
                            }
                        });
        done.whenComplete((a, e) -> timeout.cancel());
        return done;
    }

    private static Answer answer(HttpResponse r, ByteBuf buf) {
        long after = seconds(Optional.ofNullable(r.getHeader(HttpHeaders.RETRY_AFTER)));
        String etag = Optional.ofNullable(r.getHeader(HttpHeaders.ETAG)).orElse("");
        return new Answer(r.getCode(), buf.getArray(), after, etag);
    }

    private static long seconds(Optional<String> text) {
        return text.filter(t -> t.matches("[0-9]{1,6}"))
                .map(t -> Long.parseLong(t) * 1000)
                .orElse(0L);
    }

    /** Closes kept connections. */
    public void stop() {
        mClient.stop();
    }

    /** Returns a header by name, for callers that build requests themselves. */
    public static HttpHeader header(String name) {
        return HttpHeaders.of(name);
    }
}
