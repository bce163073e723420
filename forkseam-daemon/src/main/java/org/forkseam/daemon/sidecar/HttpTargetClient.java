package org.forkseam.daemon.sidecar;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;

import org.forkseam.platform.http.IpLiteralDnsClient;
import org.forkseam.wire.proto.Header;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Sends requests over HTTP to an engine or a plain service. Streams of engines are resumed and
 * cancelled through the endpoints of the OpenAI Responses API. Not thread-safe; used on the event
 * loop.
 *
 * @since 0.1
 */
public final class HttpTargetClient implements TargetClient {
    /** Header that carries the request's id to the target. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    private static final Logger LOG = LoggerFactory.getLogger(HttpTargetClient.class);
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of("connection", "content-length", "host", "keep-alive", "transfer-encoding");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient mClient;
    private final String mUrl;

    private HttpTargetClient(Eventloop loop, String url) {
        mUrl = url;
        mClient =
                HttpClient.builder(loop, new IpLiteralDnsClient())
                        .withConnectTimeout(CONNECT_TIMEOUT)
                        .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                        .build();
    }

    /** Creates a client for the target at a base URL. */
    public static HttpTargetClient of(Eventloop loop, String url) {
        return new HttpTargetClient(loop, url);
    }

    @Override
    public Call send(Request r, Listener listener) {
        HttpRequest.Builder b =
                HttpRequest.builder(HttpMethod.valueOf(r.method()), mUrl + r.path())
                        .withHeader(HttpHeaders.of(REQUEST_ID_HEADER), r.id());
        for (Header h : r.headers()) {
            if (!isHopByHopHeader(h.getName())) {
                b.withHeader(HttpHeaders.of(h.getName()), h.getValue());
            }
        }
        if (r.body().length > 0) {
            b.withBody(r.body());
        }
        return new HttpCall(listener).start(b.build());
    }

    @Override
    public Call resume(String id, long fromSequence, Listener listener) {
        String url = mUrl + "/v1/responses/" + id + "?stream=true&starting_after=" + fromSequence;
        return new HttpCall(listener).start(HttpRequest.get(url).build());
    }

    @Override
    public void cancel(String id) {
        mClient.request(HttpRequest.post(mUrl + "/v1/responses/" + id + "/cancel").build())
                .whenException(e -> LOG.debug("event=cancel-failed id={}", id, e));
    }

    /** Returns whether a header is hop-by-hop and must not be forwarded. */
    public static boolean isHopByHopHeader(String name) {
        return HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT));
    }

    /** One HTTP request and its response. */
    private final class HttpCall implements Call {
        private final Listener mListener;
        private ChannelSupplier<ByteBuf> mBody;
        private boolean mReading = true;
        private boolean mReadPending;
        private boolean mClosed;

        HttpCall(Listener listener) {
            mListener = listener;
        }

        HttpCall start(HttpRequest request) {
            mClient.request(request).subscribe(this::onResponse);
            return this;
        }

        private void onResponse(HttpResponse response, Exception e) {
            if (e != null) {
                fail(e);
                return;
            }
            mBody = response.takeBodyStream();
            if (mClosed) {
                mBody.close();
                return;
            }
            mListener.onHead(response.getCode(), endToEndHeaders(response));
            read();
        }

        private void fail(Exception e) {
            if (mClosed) {
                return;
            }
            mClosed = true;
            // Only a failure to connect proves that the target did not receive the request.
            if (mBody == null && isConnectFailure(e)) {
                mListener.onNotSent(e);
            } else {
                mListener.onFailed(e);
            }
        }

        private static boolean isConnectFailure(Throwable e) {
            for (Throwable t = e; t != null; t = t.getCause()) {
                if (t instanceof ConnectException) {
                    return true;
                }
            }
            return false;
        }

        private void read() {
            if (mBody == null || mReadPending || !mReading || mClosed) {
                return;
            }
            mReadPending = true;
            mBody.get().subscribe(this::onBuffer);
        }

        private void onBuffer(ByteBuf buf, Exception e) {
            mReadPending = false;
            if (mClosed) {
                if (buf != null) {
                    buf.recycle();
                }
                return;
            }
            if (e != null) {
                fail(e);
                return;
            }
            if (buf == null) {
                mClosed = true;
                mListener.onEnd();
                return;
            }
            mListener.onData(buf.asArray());
            read();
        }

        @Override
        public void setReading(boolean reading) {
            mReading = reading;
            read();
        }

        @Override
        public void close() {
            mClosed = true;
            if (mBody != null) {
                mBody.close();
            }
        }
    }

    private static List<Header> endToEndHeaders(HttpResponse response) {
        List<Header> out = new ArrayList<>();
        response.getHeaders()
                .forEach(
                        e -> {
                            String name = e.getKey().toString();
                            if (!isHopByHopHeader(name)) {
                                String value = e.getValue().toString();
                                out.add(Header.newBuilder().setName(name).setValue(value).build());
                            }
                        });
        return out;
    }
}
