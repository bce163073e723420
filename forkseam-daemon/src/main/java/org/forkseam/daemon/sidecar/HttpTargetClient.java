package org.forkseam.daemon.sidecar;

import io.activej.eventloop.Eventloop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;

import org.forkseam.core.kernel.Service;
import org.forkseam.platform.http.HttpExchange;
import org.forkseam.platform.http.HttpNetwork;
import org.forkseam.platform.http.HttpUrl;
import org.forkseam.wire.proto.Header;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Sends requests over HTTP to an engine or a plain service. Streams of engines are resumed and
 * cancelled through the endpoints of the OpenAI Responses API. Not thread-safe; used on the event
 * loop, apart from the lifecycle methods.
 *
 * @since 0.1
 */
public final class HttpTargetClient implements TargetClient, Service {
    /** Name of the service. */
    public static final String NAME = "target-client";

    /** Header that carries the request's id to the target. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    private static final Logger LOG = LoggerFactory.getLogger(HttpTargetClient.class);
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of("connection", "content-length", "host", "keep-alive", "transfer-encoding");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(5);
    private static final byte[] NO_BODY = new byte[0];

    private final Eventloop mLoop;
    private final HttpNetwork mNetwork;
    private final HttpUrl mUrl;

    private HttpTargetClient(Eventloop loop, String url) {
        mLoop = loop;
        mUrl = HttpUrl.parse(url);
        mNetwork = HttpNetwork.of(loop, NAME, CONNECT_TIMEOUT, KEEP_ALIVE_TIMEOUT);
    }

    /**
     * Creates a client for the target at a base URL.
     *
     * @throws IllegalArgumentException if the URL does not have the form http://IP:PORT/PATH
     */
    public static HttpTargetClient of(Eventloop loop, String url) {
        return new HttpTargetClient(loop, url);
    }

    // ---------------------------------------------------------------- lifecycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Closes all connections without telling the listeners, so that a stream that outlasts the
     * drain is not ended as failed: a restarted sidecar resumes it.
     */
    @Override
    public CompletableFuture<Void> stop() {
        return mNetwork.stop();
    }

    @Override
    public Object dump() {
        return Map.of("connections_opened", mNetwork.openedCount());
    }

    // ---------------------------------------------------------------- requests

    @Override
    public Call send(Request r, Listener listener) {
        FullHttpRequest request;
        try {
            request = mUrl.request(HttpMethod.valueOf(r.method()), r.path(), r.body());
            request.headers().set(REQUEST_ID_HEADER, r.id());
            for (Header h : r.headers()) {
                if (!isHopByHopHeader(h.getName()) && !isAcceptEncoding(h.getName())) {
                    request.headers().add(h.getName(), h.getValue());
                }
            }
        } catch (IllegalArgumentException e) {
            return new InvalidCall(listener).fail(e);
        }
        return start(request, r.id(), listener);
    }

    @Override
    public Call resume(String id, long fromSequence, Listener listener) {
        String path = "/v1/responses/" + id + "?stream=true&starting_after=" + fromSequence;
        FullHttpRequest request;
        try {
            request = mUrl.request(HttpMethod.GET, path, NO_BODY);
        } catch (IllegalArgumentException e) {
            return new InvalidCall(listener).fail(e);
        }
        return start(request, "", listener);
    }

    @Override
    public void cancel(String id) {
        String path = "/v1/responses/" + id + "/cancel";
        try {
            FullHttpRequest request = mUrl.request(HttpMethod.POST, path, NO_BODY);
            mNetwork.send(mUrl, request, "", new CancelListener(id));
        } catch (IllegalArgumentException e) {
            LOG.debug("event=cancel-failed id={}", id, e);
        }
    }

    private Call start(FullHttpRequest request, String id, Listener listener) {
        HttpExchange e = mNetwork.send(mUrl, request, id, new ResponseAdapter(listener));
        return new HttpCall(e);
    }

    /** Returns whether a header is hop-by-hop and must not be forwarded. */
    public static boolean isHopByHopHeader(String name) {
        return HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT));
    }

    /** Events and token counts are read from responses, which must not be compressed for that. */
    private static boolean isAcceptEncoding(String name) {
        return name.equalsIgnoreCase("accept-encoding");
    }

    /** A request on the network. */
    private record HttpCall(HttpExchange exchange) implements Call {
        @Override
        public void setReading(boolean reading) {
            exchange.setReading(reading);
        }

        @Override
        public void close() {
            exchange.close();
        }
    }

    /** A request that cannot be sent over HTTP. */
    private final class InvalidCall implements Call {
        private final Listener mListener;
        private boolean mClosed;

        InvalidCall(Listener listener) {
            mListener = listener;
        }

        /** Fails the call, as another sidecar could not send the request either. */
        Call fail(Exception cause) {
            mLoop.post(
                    () -> {
                        if (!mClosed) {
                            mListener.onFailed(cause);
                        }
                    });
            return this;
        }

        @Override
        public void setReading(boolean reading) {}

        @Override
        public void close() {
            mClosed = true;
        }
    }

    /** Passes a response on without its hop-by-hop headers. */
    private record ResponseAdapter(Listener listener) implements HttpExchange.Listener {
        @Override
        public void onHead(int status, List<Map.Entry<String, String>> headers) {
            List<Header> endToEnd = new ArrayList<>();
            for (Map.Entry<String, String> h : headers) {
                if (!isHopByHopHeader(h.getKey())) {
                    endToEnd.add(
                            Header.newBuilder().setName(h.getKey()).setValue(h.getValue()).build());
                }
            }
            listener.onHead(status, endToEnd);
        }

        @Override
        public void onData(byte[] data) {
            listener.onData(data);
        }

        @Override
        public void onEnd() {
            listener.onEnd();
        }

        @Override
        public void onNotSent(Exception cause) {
            listener.onNotSent(cause);
        }

        @Override
        public void onFailed(Exception cause) {
            listener.onFailed(cause);
        }
    }

    /** Ignores the response to a cancellation. */
    private record CancelListener(String id) implements HttpExchange.Listener {
        @Override
        public void onHead(int status, List<Map.Entry<String, String>> headers) {}

        @Override
        public void onData(byte[] data) {}

        @Override
        public void onEnd() {}

        @Override
        public void onNotSent(Exception cause) {
            LOG.debug("event=cancel-failed id={}", id, cause);
        }

        @Override
        public void onFailed(Exception cause) {
            LOG.debug("event=cancel-failed id={}", id, cause);
        }
    }
}
