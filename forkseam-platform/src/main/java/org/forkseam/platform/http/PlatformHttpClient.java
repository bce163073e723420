package org.forkseam.platform.http;

import com.fasterxml.jackson.databind.ObjectMapper;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;

import org.forkseam.direct.io.ExchangeClasses;
import org.forkseam.platform.PlatformException;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * HTTP client for platform services that buffers complete responses.
 *
 * <p>Sends its requests on an {@link HttpNetwork}, whose connections tell bytes that belong to no
 * due response. Not thread-safe: must be used on its event loop, where futures complete.
 *
 * @since 0.1
 */
public final class PlatformHttpClient {
    /** Shared JSON mapper; thread-safe. */
    public static final ObjectMapper JSON = new ObjectMapper();

    /** Exceeds the largest object of the services, 8 MB. */
    static final int MAX_BODY_BYTES = 16 << 20;

    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final String THREAD = "platform-http";
    private static final Duration MAX_IDLE = Duration.ofSeconds(30);

    private final HttpNetwork mNetwork;
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

    private PlatformHttpClient(HttpNetwork network, Eventloop eventloop, long timeoutMillis) {
        mNetwork = network;
        mEventloop = eventloop;
        mTimeoutMillis = timeoutMillis;
    }

    /** Creates a client with a timeout per request. */
    public static PlatformHttpClient of(Eventloop eventloop, Duration timeout) {
        ExchangeClasses.load();
        HttpNetwork network = HttpNetwork.of(eventloop, THREAD, timeout, MAX_IDLE);
        return new PlatformHttpClient(network, eventloop, timeout.toMillis());
    }

    /** Sends a conditional GET; the status is 304 if the content still has the given ETag. */
    public CompletableFuture<Response> getIfChanged(String service, String url, String etag) {
        return send(service, HttpMethod.GET, url, Optional.empty(), etag);
    }

    /**
     * Sends a request; the future fails with a {@link PlatformException} on a timeout, a status of
     * 500 or above, a response body above 16 MB, or a URL that is not of the form {@code
     * http://IP:PORT/PATH}.
     */
    public CompletableFuture<Response> send(
            String service, HttpMethod method, String url, byte[] body) {
        return send(service, method, url, Optional.ofNullable(body), "");
    }

    private CompletableFuture<Response> send(
            String service, HttpMethod method, String url, Optional<byte[]> body, String etag) {
        Call call = new Call(service);
        try {
            HttpUrl target = HttpUrl.parse(url);
            FullHttpRequest r =
                    target.request(
                            io.netty.handler.codec.http.HttpMethod.valueOf(method.name()),
                            "",
                            body.orElse(new byte[0]));
            if (body.isPresent()) {
                r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            }
            if (!etag.isEmpty()) {
                r.headers().set(HttpHeaderNames.IF_NONE_MATCH, etag);
            }
            call.start(mNetwork.send(target, r, "", call));
        } catch (IllegalArgumentException e) {
            call.mResponse.completeExceptionally(new PlatformException(service, e));
        }
        return call.mResponse;
    }

    /** Closes the client and its connections; responses that are due do not arrive any more. */
    public void stop() {
        mNetwork.stop();
    }

    /** An active call. */
    private final class Call implements HttpExchange.Listener {
        private final String mService;
        private final CompletableFuture<Response> mResponse = new CompletableFuture<>();
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private HttpExchange mExchange;
        private int mStatus;
        private long mRetryAfterMillis;
        private String mEtag = "";

        Call(String service) {
            mService = service;
        }

        void start(HttpExchange exchange) {
            mExchange = exchange;
            var timeout =
                    mEventloop.delayBackground(mTimeoutMillis, () -> abort("no answer in time"));
            mResponse.whenComplete((r, e) -> timeout.cancel());
        }

        /** Fails the call and closes its connection. */
        private void abort(String message) {
            mExchange.close();
            mResponse.completeExceptionally(new PlatformException(mService, message));
        }

        @Override
        public void onHead(int status, List<Map.Entry<String, String>> headers) {
            mStatus = status;
            mRetryAfterMillis = retryAfterMillis(value(headers, HttpHeaderNames.RETRY_AFTER));
            mEtag = value(headers, HttpHeaderNames.ETAG).orElse("");
        }

        private static Optional<String> value(
                List<Map.Entry<String, String>> headers, CharSequence name) {
            return headers.stream()
                    .filter(h -> h.getKey().equalsIgnoreCase(name.toString()))
                    .map(Map.Entry::getValue)
                    .findFirst();
        }

        private static long retryAfterMillis(Optional<String> text) {
            return text.filter(t -> t.matches("[0-9]{1,6}"))
                    .map(t -> Long.parseLong(t) * 1000)
                    .orElse(0L);
        }

        @Override
        public void onData(byte[] data) {
            if (mBody.size() + data.length > MAX_BODY_BYTES) {
                abort("response body exceeds byte limit " + MAX_BODY_BYTES);
                return;
            }
            mBody.writeBytes(data);
        }

        @Override
        public void onEnd() {
            if (mStatus >= MIN_SERVER_ERROR_STATUS) {
                mResponse.completeExceptionally(
                        new PlatformException(mService, "status " + mStatus));
                return;
            }
            mResponse.complete(
                    new Response(mStatus, mBody.toByteArray(), mRetryAfterMillis, mEtag));
        }

        @Override
        public void onNotSent(Exception cause) {
            onFailed(cause);
        }

        @Override
        public void onFailed(Exception cause) {
            mResponse.completeExceptionally(new PlatformException(mService, cause));
        }
    }
}
