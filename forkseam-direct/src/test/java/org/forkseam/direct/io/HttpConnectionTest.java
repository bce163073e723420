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
import org.forkseam.direct.ScriptedServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Tests the ways in which an exchange with a target can end. */
class HttpConnectionTest {
    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static final EventLoop LOOP = (EventLoop) GROUP.next();
    private static final long WAIT_SECONDS = 10;

    /** A response and the expected end of the exchange. */
    enum Case {
        WHOLE("HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nok", "END ok"),
        CHUNKED(
                "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
                "END ok"),
        END_BY_CLOSE("HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nok", "END ok"),
        CUT_BY_CLOSE(
                "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 9\r\n\r\nok", "CLOSED ok"),
        CUT_IN_CHUNKS(
                "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                "CLOSED ok"),
        CUT_IN_HEAD("HTTP/1.1 200 OK\r\nRequ", "CLOSED "),
        NOTHING("", "CLOSED "),
        NO_ANSWER("garbage garbage\r\n\r\n", "MALFORMED "),
        BAD_CHUNK(
                "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok",
                "MALFORMED "),
        FOREIGN_FIRST(
                "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 3\r\n\r\nbad"
                        + "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nok",
                "END ok"),
        FOREIGN_ONLY("HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 3\r\n\r\nbad", "CLOSED "),
        CONTINUE_FIRST(
                "HTTP/1.1 100 Continue\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nok",
                "END ok");

        private final String mResponse;
        private final String mEnd;

        Case(String response, String end) {
            mResponse = response;
            mEnd = end;
        }
    }

    @AfterAll
    static void stopLoop() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Records how an exchange ended. */
    private static class Recorder implements ConnectionCallback, ResponseListener {
        private final StringBuilder mBody = new StringBuilder();
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();
        private HttpConnection mConnection;

        HttpConnection connection() {
            return mConnection;
        }

        @Override
        public void onConnection(HttpConnection c) {
            mConnection = c;
            FullHttpRequest r =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
            r.headers().set("Request-Id", "r");
            c.send(r, h -> "r".equals(h.headers().get("Request-Id")), this);
        }

        @Override
        public void onConnectionFailed(ExchangeFailure failure, String detail) {
            mEnd.complete(failure + " ");
        }

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(ByteBuf bytes) {
            mBody.append(bytes.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void onComplete() {
            mEnd.complete("END " + mBody);
        }

        @Override
        public void onExchangeFailed(ExchangeFailure failure, String detail) {
            mEnd.complete(failure + " " + mBody);
        }
    }

    private static String exchange(ConnectionPool pool) throws Exception {
        Recorder r = new Recorder();
        LOOP.execute(() -> pool.acquire(60_000, r));
        return r.mEnd.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static ConnectionPool pool(String address) {
        return ConnectionPool.of(Connector.of(LOOP), Clock.monotonic(), address);
    }

    @ParameterizedTest
    @EnumSource(Case.class)
    void responseEndIsDetected(Case c) throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            w.send(c.mResponse);
                            return false;
                        })) {
            String end = exchange(pool(s.address()));
            assertThat(end).startsWith(c.mEnd.split(" ")[0]);
            if (c.mEnd.startsWith("END")) {
                assertThat(end).isEqualTo(c.mEnd);
            }
        }
    }

    /** A response delimited by close is incomplete if the connection is reset. */
    @Test
    void resetDoesNotCompleteTheResponse() throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            w.send("HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nok");
                            Thread.sleep(100);
                            w.reset();
                            return false;
                        })) {
            assertThat(exchange(pool(s.address()))).startsWith("RESET");
        }
    }

    /**
     * A broken connection may still count as open when its replacement is opened, so the limit must
     * not apply.
     */
    @Test
    void brokenConnectionIsReplacedAtTheLimit() throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            w.awaitClose(10_000);
                            return false;
                        })) {
            ConnectionPool pool = pool(s.address());
            pool.setLimit(0);
            assertThat(exchange(pool)).startsWith("NO_CONNECTION_FREE");
            Recorder r = new Recorder();
            LOOP.execute(() -> pool.openReplacement(r));
            s.close();
            assertThat(r.mEnd.get(WAIT_SECONDS, TimeUnit.SECONDS)).doesNotContain("NO_CONNECTION");
        }
    }

    @Test
    void refusedConnectionIsReported() throws Exception {
        String address;
        try (ScriptedServer s = ScriptedServer.of((r, w) -> false)) {
            address = s.address();
        }
        assertThat(exchange(pool(address))).startsWith("NOBODY_LISTENS");
    }

    @Test
    void connectionsAreReused() throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            w.send(ScriptedServer.ok(r, "" + r.number()));
                            return true;
                        })) {
            ConnectionPool pool = pool(s.address());
            assertThat(exchange(pool)).isEqualTo("END 1");
            assertThat(exchange(pool)).isEqualTo("END 2");
            assertThat(pool.openCount()).isEqualTo(1);
        }
    }

    /** Backpressure on one response must not block the next one on the same connection. */
    @Test
    void releasedConnectionResumesReading() throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            w.send(ScriptedServer.ok(r, "" + r.number()));
                            return true;
                        })) {
            ConnectionPool pool = pool(s.address());
            Recorder slow =
                    new Recorder() {
                        @Override
                        public void onBody(ByteBuf bytes) {
                            super.onBody(bytes);
                            connection().setAutoRead(false);
                        }
                    };
            LOOP.execute(() -> pool.acquire(60_000, slow));
            assertThat(slow.mEnd.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("END 1");
            assertThat(exchange(pool)).isEqualTo("END 2");
            assertThat(pool.openCount()).isEqualTo(1);
        }
    }

    /** A surplus response on a kept connection must not reach the next request. */
    @Test
    void surplusResponseClosesTheConnection() throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            w.send(ScriptedServer.ok(r, "" + r.number()));
                            w.send("HTTP/1.1 200 OK\r\nRequest-Id: x\r\n");
                            w.send("Content-Length: 1\r\n\r\n!");
                            return true;
                        })) {
            ConnectionPool pool = pool(s.address());
            assertThat(exchange(pool)).isEqualTo("END 1");
            assertThat(exchange(pool)).isEqualTo("END 2");
        }
    }

    @Test
    void connectionLimitIsEnforced() throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of((r, w) -> w.awaitClose((int) WAIT_SECONDS * 1000))) {
            ConnectionPool pool = pool(s.address());
            pool.setLimit(1);
            LOOP.execute(() -> pool.acquire(60_000, new Recorder()));
            assertThat(exchange(pool)).startsWith("NO_CONNECTION_FREE");
        }
    }
}
