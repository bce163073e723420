package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.core.util.Clock;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/**
 * Client for small requests to one HTTP server with buffered responses. Used on the event loop.
 *
 * <p>A call that times out fails and closes its connection.
 *
 * @since 0.2
 */
public final class SimpleHttpClient {
    /** Older idle connections may have been closed by the server. */
    private static final long MAX_IDLE_MILLIS = 4_000;

    /**
     * Exceeds the largest responses of the store, a configuration and a page of 500 targets; calls
     * fail beyond it. Holds for all calls together.
     */
    static final int MAX_BODY_BYTES = 8 << 20;

    private final ReadBarrier mReadBarrier;
    private final ConnectionPool mPool;
    private final String mAddress;
    private long mCallCount;
    private long mBytesRead;
    private long mBufferedBytes;

    private SimpleHttpClient(EventLoop loop, Connector connector, Clock clock, String address) {
        mReadBarrier = ReadBarrier.of(loop);
        mPool = ConnectionPool.of(connector, clock, address);
        mAddress = address;
    }

    /** Creates a client for one address. */
    public static SimpleHttpClient of(
            EventLoop loop, Connector connector, Clock clock, String address) {
        return new SimpleHttpClient(loop, connector, clock, address);
    }

    /**
     * A complete response.
     *
     * @param status the status code
     * @param headers the header fields
     * @param body the body
     */
    public record Response(int status, HttpHeaders headers, byte[] body) {
        /** Returns this response with another status. */
        public Response withStatus(int newStatus) {
            return new Response(newStatus, headers, body);
        }
    }

    /**
     * Sends a request. The future fails with an {@link IOException} if no complete response
     * arrives, or if the bodies of all active calls exceed 8 MB.
     */
    public CompletableFuture<Response> call(
            HttpMethod method, String uri, byte[] body, long timeoutMillis) {
        mCallCount++;
        Call call = new Call(request(method, uri, body));
        call.mTimer =
                mReadBarrier.schedule(
                        timeoutMillis,
                        () -> call.fail("no complete response within " + timeoutMillis + " ms"));
        mPool.acquire(MAX_IDLE_MILLIS, call);
        return call.mResponse;
    }

    private FullHttpRequest request(HttpMethod method, String uri, byte[] body) {
        FullHttpRequest r =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body));
        r.headers().set(HttpHeaderNames.HOST, mAddress);
        if (body.length > 0) {
            r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return r;
    }

    /** Returns the number of calls since the start. */
    public long callCount() {
        return mCallCount;
    }

    /** Returns the number of body bytes received since the start. */
    public long bytesRead() {
        return mBytesRead;
    }

    /** Closes idle connections. */
    public void close() {
        mPool.close();
    }

    /** An active call. */
    private final class Call implements ConnectionCallback, ResponseListener {
        private final FullHttpRequest mRequest;
        private final CompletableFuture<Response> mResponse = new CompletableFuture<>();
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private java.util.concurrent.Future<?> mTimer;
        private HttpConnection mConnection;
        private HttpResponse mHead;

        Call(FullHttpRequest request) {
            mRequest = request;
        }

        @Override
        public void onConnection(HttpConnection c) {
            if (mResponse.isDone()) {
                c.release();
                return;
            }
            mConnection = c;
            c.send(mRequest, r -> true, this);
        }

        @Override
        public void onConnectionFailed(ExchangeFailure failure, String detail) {
            fail(failure + " " + detail);
        }

        @Override
        public void onHead(HttpResponse head) {
            mHead = head;
        }

        @Override
        public void onBody(ByteBuf bytes) {
            mBytesRead += bytes.readableBytes();
            if (mBufferedBytes + bytes.readableBytes() > MAX_BODY_BYTES) {
                fail("response body exceeds byte limit " + MAX_BODY_BYTES);
                return;
            }
            byte[] b = ByteBufUtil.getBytes(bytes);
            mBody.write(b, 0, b.length);
            mBufferedBytes += b.length;
        }

        @Override
        public void onComplete() {
            mTimer.cancel(false);
            mBufferedBytes -= mBody.size();
            mResponse.complete(
                    new Response(mHead.status().code(), mHead.headers(), mBody.toByteArray()));
        }

        @Override
        public void onExchangeFailed(ExchangeFailure failure, String detail) {
            mConnection = null;
            fail(failure + " " + detail);
        }

        private void fail(String message) {
            if (mResponse.isDone()) {
                return;
            }
            mTimer.cancel(false);
            mBufferedBytes -= mBody.size();
            if (mConnection != null) {
                mConnection.abort();
            }
            mResponse.completeExceptionally(new IOException(mAddress + ": " + message));
        }
    }
}
