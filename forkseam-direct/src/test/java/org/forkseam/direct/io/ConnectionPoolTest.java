package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.core.util.Clock;
import org.forkseam.direct.ScriptedServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Tests which connection of a pool a request gets. */
class ConnectionPoolTest {
    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static final EventLoop LOOP = (EventLoop) GROUP.next();
    private static final ScriptedServer.Script OK =
            (r, w) -> {
                w.send(ScriptedServer.ok(r, "ok"));
                return true;
            };

    @AfterAll
    static void stopLoop() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** An exchange with the given request id, whose end names the connection. */
    private static final class Exchange implements ConnectionCallback, ResponseListener {
        private final String mId;
        private final CompletableFuture<HttpConnection> mEnd = new CompletableFuture<>();
        private HttpConnection mConnection;

        Exchange(String id) {
            mId = id;
        }

        @Override
        public void onConnection(HttpConnection c) {
            mConnection = c;
            c.addRequestId(mId);
            DefaultFullHttpRequest r =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
            c.send(r, h -> true, this);
        }

        @Override
        public void onConnectionFailed(ExchangeFailure failure, String detail) {
            mEnd.completeExceptionally(new AssertionError(failure + " " + detail));
        }

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(ByteBuf bytes) {}

        @Override
        public void onComplete() {
            mEnd.complete(mConnection);
        }

        @Override
        public void onExchangeFailed(ExchangeFailure failure, String detail) {
            mEnd.completeExceptionally(new AssertionError(failure + " " + detail));
        }
    }

    private static HttpConnection exchange(ConnectionPool pool, String id) throws Exception {
        Exchange e = new Exchange(id);
        LOOP.execute(() -> pool.acquireFor(id, 60_000, e));
        return e.mEnd.get(10, TimeUnit.SECONDS);
    }

    private static ConnectionPool pool(ScriptedServer s) {
        return ConnectionPool.of(Connector.of(LOOP), Clock.monotonic(), s.address());
    }

    /** Guards against a late second response that cannot be told from the one that is due. */
    @Test
    void connectionIsPassedOverForAnIdThatItHasCarried() throws Exception {
        try (ScriptedServer s = ScriptedServer.of(OK)) {
            ConnectionPool pool = pool(s);
            HttpConnection first = exchange(pool, "one");
            HttpConnection second = exchange(pool, "one");
            assertThat(second).isNotSameInstanceAs(first);
            assertThat(exchange(pool, "two")).isSameInstanceAs(second);
            assertThat(exchange(pool, "two")).isSameInstanceAs(first);
            assertThat(pool.openCount()).isEqualTo(2);
        }
    }

    /** Guards against a request that fails at the limit although a connection is idle. */
    @Test
    void idleConnectionGivesWayAtTheLimit() throws Exception {
        try (ScriptedServer s = ScriptedServer.of(OK)) {
            ConnectionPool pool = pool(s);
            pool.setLimit(1);
            HttpConnection first = exchange(pool, "one");
            HttpConnection second = exchange(pool, "one");
            assertThat(second).isNotSameInstanceAs(first);
            assertThat(first.isUsable()).isFalse();
            assertThat(exchange(pool, "two")).isSameInstanceAs(second);
        }
    }

    /**
     * Guards against an attempt that neither ends nor fails, and a connection that counts as open
     * for ever, when the process has no descriptor left for a socket.
     */
    @Test
    void connectionWithoutASocketFails() throws Exception {
        Connector connector =
                Connector.of(
                        LOOP,
                        () -> {
                            throw new ChannelException("Too many open files");
                        });
        ConnectionPool pool = ConnectionPool.of(connector, Clock.monotonic(), "127.0.0.1:1");
        pool.setLimit(2);
        for (int i = 0; i < 5; i++) {
            CompletableFuture<ExchangeFailure> failure = new CompletableFuture<>();
            CompletableFuture<Boolean> onLoop = new CompletableFuture<>();
            LOOP.submit(() -> pool.acquire(60_000, failing(failure, onLoop))).get();
            assertThat(failure.get(10, TimeUnit.SECONDS)).isEqualTo(ExchangeFailure.NO_SOCKET);
            assertThat(onLoop.get()).isTrue();
            assertThat(LOOP.submit(pool::openCount).get()).isEqualTo(0);
        }
        assertThat(ExchangeFailure.NO_SOCKET.mayHaveRun()).isFalse();
    }

    private static ConnectionCallback failing(
            CompletableFuture<ExchangeFailure> failure, CompletableFuture<Boolean> onLoop) {
        return new ConnectionCallback() {
            @Override
            public void onConnection(HttpConnection c) {
                failure.completeExceptionally(new AssertionError("connected"));
            }

            @Override
            public void onConnectionFailed(ExchangeFailure f, String detail) {
                onLoop.complete(LOOP.inEventLoop());
                failure.complete(f);
            }
        };
    }
}
