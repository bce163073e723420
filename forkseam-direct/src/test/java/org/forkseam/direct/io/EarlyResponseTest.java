package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.core.util.Clock;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Tests responses that begin before the server has read the whole request. */
class EarlyResponseTest {
    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static final EventLoop LOOP = (EventLoop) GROUP.next();
    private static final int REQUEST_BYTES = 8 << 20;
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
    private static final long WAIT_SECONDS = 10;
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n";

    @AfterAll
    static void stopLoop() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** What a server does with a connection. */
    private interface Script {
        void serve(Socket s) throws IOException, InterruptedException;
    }

    /** Sends a long request and records how the exchange ends. */
    private static final class Exchange implements ConnectionCallback, ResponseListener {
        private final CompletableFuture<Void> mBody = new CompletableFuture<>();
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();

        @Override
        public void onConnection(HttpConnection c) {
            FullHttpRequest r =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.POST,
                            "/",
                            Unpooled.wrappedBuffer(new byte[REQUEST_BYTES]));
            r.headers().set("Content-Length", REQUEST_BYTES);
            c.send(r, h -> true, this);
        }

        @Override
        public void onConnectionFailed(ExchangeFailure failure, String detail) {
            mEnd.complete(failure.toString());
        }

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(ByteBuf bytes) {
            mBody.complete(null);
        }

        @Override
        public void onComplete() {
            mEnd.complete("END");
        }

        @Override
        public void onExchangeFailed(ExchangeFailure failure, String detail) {
            mEnd.complete(failure.toString());
        }
    }

    private static String exchange(Exchange e, Script script) throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            listener.bind(new InetSocketAddress("127.0.0.1", 0));
            Thread server =
                    new Thread(
                            () -> {
                                try (Socket s = listener.accept()) {
                                    script.serve(s);
                                } catch (IOException | InterruptedException failure) {
                                    e.mEnd.completeExceptionally(failure);
                                }
                            });
            server.start();
            ConnectionPool pool =
                    ConnectionPool.of(
                            Connector.of(LOOP),
                            Clock.monotonic(),
                            "127.0.0.1:" + listener.getLocalPort());
            LOOP.execute(() -> pool.acquire(60_000, e));
            return e.mEnd.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Closing with unread bytes resets the connection, which shows as a failed write first. */
    @Test
    void resetWhileTheRequestIsWrittenDoesNotCompleteTheResponse() throws Exception {
        Exchange e = new Exchange();
        String end =
                exchange(
                        e,
                        s -> {
                            send(s, UNFRAMED + "part of the body");
                            e.mBody.join();
                        });
        assertThat(end).isEqualTo("RESET");
    }

    /** The rest of the request is read before the response ends. */
    @Test
    void responseIsCompleteOnceTheRequestWasWritten() throws Exception {
        Exchange e = new Exchange();
        String end =
                exchange(
                        e,
                        s -> {
                            send(s, UNFRAMED + "part of the body");
                            e.mBody.join();
                            while (!endsRequest(s)) {
                                s.getInputStream().skipNBytes(s.getInputStream().available());
                            }
                        });
        assertThat(end).isEqualTo("END");
    }

    private static boolean endsRequest(Socket s) throws IOException {
        s.setSoTimeout(300);
        try {
            return s.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return true; // nothing more is sent
        }
    }

    /** A response with a length needs no more of the request. */
    @Test
    void responseWithALengthIsCompleteAtOnce() throws Exception {
        Exchange e = new Exchange();
        String end =
                exchange(
                        e,
                        s -> {
                            send(s, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
                            e.mEnd.join();
                        });
        assertThat(end).isEqualTo("END");
    }
}
