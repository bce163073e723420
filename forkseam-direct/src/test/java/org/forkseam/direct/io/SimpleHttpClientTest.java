package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;

import org.forkseam.core.util.Clock;
import org.forkseam.direct.ScriptedServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Tests which bytes on the connection of a store count as the response to a call. */
class SimpleHttpClientTest {
    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static final EventLoop LOOP = (EventLoop) GROUP.next();
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final String SURPLUS =
            "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 3\r\n\r\nold";
    private static final String CONFLICT = "HTTP/1.1 412 Failed\r\nContent-Length: 0\r\n\r\n";

    @AfterAll
    static void stopLoop() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static int call(SimpleHttpClient client) throws Exception {
        CompletableFuture<SimpleHttpClient.Response> response = new CompletableFuture<>();
        LOOP.execute(
                () ->
                        client.call(HttpMethod.GET, "/x", new byte[0], TIMEOUT_MILLIS)
                                .whenComplete(
                                        (r, e) -> {
                                            if (e == null) {
                                                response.complete(r);
                                            } else {
                                                response.completeExceptionally(e);
                                            }
                                        }));
        return response.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).status();
    }

    private static SimpleHttpClient client(Connector connector, ScriptedServer s) {
        return SimpleHttpClient.of(LOOP, connector, Clock.monotonic(), s.address());
    }

    /**
     * Guards against a call that succeeds by a part of a surplus response behind an earlier one.
     */
    @Test
    void surplusBehindAResponseDoesNotReachTheNextCall() throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            int cut = (r.number() + 1) / 2;
                            boolean odd = r.number() % 2 == 1;
                            w.send(
                                    odd
                                            ? ScriptedServer.ok(r, "") + SURPLUS.substring(0, cut)
                                            : CONFLICT);
                            return true;
                        })) {
            SimpleHttpClient client = client(Connector.of(LOOP), s);
            for (int cut = 1; cut <= SURPLUS.length(); cut++) {
                assertThat(call(client)).isEqualTo(200);
                assertWithMessage("byte %s", cut).that(call(client)).isEqualTo(412);
            }
        }
    }

    /** Guards against a call that succeeds by a part of a surplus response before its own. */
    @Test
    void partOfASurplusResponseBeforeTheDueOneFailsTheCall() throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            int headLength = SURPLUS.indexOf("\r\n\r\n") + 4;
                            w.send(SURPLUS.substring(0, 1 + r.number() % (headLength - 1)));
                            w.send(CONFLICT);
                            return true;
                        })) {
            SimpleHttpClient client = client(Connector.of(LOOP), s);
            for (int i = 0; i < SURPLUS.indexOf("\r\n\r\n") + 2; i++) {
                assertThrows(ExecutionException.class, () -> call(client));
            }
        }
    }

    /** Guards against closing connections whose responses are sound. */
    @Test
    void callsShareAConnection() throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            w.send(ScriptedServer.ok(r, "body"));
                            return true;
                        })) {
            Connector connector = Connector.of(LOOP);
            SimpleHttpClient client = client(connector, s);
            for (int i = 0; i < 20; i++) {
                assertThat(call(client)).isEqualTo(200);
            }
            assertThat(connector.openedCount()).isEqualTo(1);
        }
    }

    /** Guards against a store whose responses without end fill the memory until the timeout. */
    @Test
    void bodyWithoutEndFailsTheCallAtTheByteLimit() throws Exception {
        String part = "x".repeat(1 << 16);
        AtomicLong sent = new AtomicLong();
        CompletableFuture<Void> closed = new CompletableFuture<>();
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            try {
                                w.send("HTTP/1.1 200 OK\r\n\r\n");
                                while (sent.get() < 8L * SimpleHttpClient.MAX_BODY_BYTES) {
                                    w.send(part);
                                    sent.addAndGet(part.length());
                                }
                            } catch (IOException e) {
                                closed.complete(null);
                            }
                            return false;
                        })) {
            SimpleHttpClient client = client(Connector.of(LOOP), s);
            ExecutionException e = assertThrows(ExecutionException.class, () -> call(client));
            assertThat(e).hasMessageThat().contains("byte limit");
            closed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        assertThat(sent.get()).isAtMost(2L * SimpleHttpClient.MAX_BODY_BYTES);
    }

    /** Guards against heads of many short lines, each of which takes far more than its bytes. */
    @Test
    void manyHeaderLinesFailTheCall() throws Exception {
        try (ScriptedServer s =
                ScriptedServer.of(
                        (r, w) -> {
                            w.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n");
                            w.send("a:\r\n".repeat(ResponseDecoder.MAX_HEADER_LINES) + "\r\n");
                            return true;
                        })) {
            SimpleHttpClient client = client(Connector.of(LOOP), s);
            ExecutionException e = assertThrows(ExecutionException.class, () -> call(client));
            assertThat(e).hasMessageThat().contains("header lines");
        }
    }
}
