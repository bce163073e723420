package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;

import org.forkseam.core.util.Clock;
import org.forkseam.direct.LoopStaller;
import org.forkseam.direct.ScriptedServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Tests that timeouts of calls and connections are not taken from time in which the event loop did
 * not run.
 */
class StalledClientTest {
    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static final EventLoop LOOP = (EventLoop) GROUP.next();
    private static final long WAIT_SECONDS = 10;
    private static final long CALL_TIMEOUT_MILLIS = 200;

    /** The kernel repeats the first packet of a handshake after one second. */
    private static final long HANDSHAKE_REPEATED_MILLIS = 1_500;

    @AfterAll
    static void stopLoop() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static CompletableFuture<SimpleHttpClient.Response> call(ScriptedServer server)
            throws Exception {
        SimpleHttpClient client =
                SimpleHttpClient.of(LOOP, Connector.of(LOOP), Clock.monotonic(), server.address());
        return LOOP.submit(
                        () -> client.call(HttpMethod.GET, "/x", new byte[0], CALL_TIMEOUT_MILLIS))
                .get();
    }

    /** Guards against a call that times out although its response waits unread. */
    @Test
    void unreadResponseIsNotTakenForATimeout() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        try (LoopStaller staller = LoopStaller.of(LOOP);
                ScriptedServer server =
                        ScriptedServer.of(
                                (r, w) -> {
                                    arrived.countDown();
                                    answer.await();
                                    w.send(ScriptedServer.ok(r, "done"));
                                    return true;
                                })) {
            CompletableFuture<SimpleHttpClient.Response> response = call(server);
            assertThat(arrived.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            staller.stall();
            answer.countDown();
            Thread.sleep(2 * CALL_TIMEOUT_MILLIS);
            staller.resume();
            assertThat(response.get(WAIT_SECONDS, TimeUnit.SECONDS).status()).isEqualTo(200);
        }
    }

    /** A server that is silent in truth is given up as soon as the loop runs again. */
    @Test
    void silentServerTimesOutAfterAStall() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        try (LoopStaller staller = LoopStaller.of(LOOP);
                ScriptedServer server =
                        ScriptedServer.of(
                                (r, w) -> {
                                    arrived.countDown();
                                    return w.awaitClose(
                                            (int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
                                })) {
            CompletableFuture<SimpleHttpClient.Response> response = call(server);
            assertThat(arrived.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            staller.stallFor(2 * CALL_TIMEOUT_MILLIS);
            try {
                response.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                throw new AssertionError("a call without a response succeeded");
            } catch (ExecutionException e) {
                assertThat(e).hasMessageThat().contains("no complete response within 200 ms");
            }
        }
    }

    /** Records how a connection attempt ended. */
    private static final class Result implements ConnectionCallback {
        private final CompletableFuture<String> mResult = new CompletableFuture<>();

        @Override
        public void onConnection(HttpConnection c) {
            mResult.complete("connected");
            c.close();
        }

        @Override
        public void onConnectionFailed(ExchangeFailure failure, String detail) {
            mResult.complete(failure + " " + detail);
        }
    }

    /** A server whose queue of connections is full, so that the next connection has to wait. */
    private static final class FullServer implements AutoCloseable {
        private final ServerSocket mListener =
                new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> mQueued = new ArrayList<>();

        FullServer() throws Exception {
            while (true) {
                Socket s = new Socket();
                try {
                    s.connect(mListener.getLocalSocketAddress(), 200);
                    mQueued.add(s);
                } catch (java.net.SocketTimeoutException e) {
                    s.close();
                    return;
                }
            }
        }

        String address() {
            return "127.0.0.1:" + mListener.getLocalPort();
        }

        void acceptAll() throws Exception {
            for (int i = 0; i < mQueued.size(); i++) {
                mListener.accept().close();
            }
        }

        @Override
        public void close() throws Exception {
            mListener.close();
            for (Socket s : mQueued) {
                s.close();
            }
        }
    }

    private static Result connect(FullServer server) throws Exception {
        Result result = new Result();
        ConnectionPool pool =
                ConnectionPool.of(Connector.of(LOOP), Clock.monotonic(), server.address());
        LOOP.submit(() -> pool.acquire(0, result)).get();
        return result;
    }

    /** Guards against a connection that times out although it was established during the stall. */
    @Test
    void connectionEstablishedDuringAStallIsUsed() throws Exception {
        try (LoopStaller staller = LoopStaller.of(LOOP);
                FullServer server = new FullServer()) {
            Result result = connect(server);
            staller.stall();
            server.acceptAll();
            Thread.sleep(HANDSHAKE_REPEATED_MILLIS);
            staller.resume();
            assertThat(result.mResult.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("connected");
        }
    }

    /** An address that does not respond fails within the connect timeout. */
    @Test
    void connectionThatIsNotEstablishedTimesOut() throws Exception {
        try (FullServer server = new FullServer()) {
            Result result = connect(server);
            assertThat(result.mResult.get(WAIT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo("UNREACHABLE not established within 300 ms");
        }
    }
}
