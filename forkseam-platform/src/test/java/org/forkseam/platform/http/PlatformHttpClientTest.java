package org.forkseam.platform.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** Tests which bytes on the connection of a platform service count as the response to a call. */
class PlatformHttpClientTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    private static final String DONE = HEAD + "done";
    private static final String CONFLICT = "HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nheld";
    private static final int FAILED = 0;
    private static final long WAIT_SECONDS = 10;

    private final AtomicInteger mConnections = new AtomicInteger();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final Eventloop mLoop = Eventloop.builder().build();
    private ServerSocket mListener;
    private PlatformHttpClient mClient;

    @BeforeEach
    void start() throws IOException {
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mLoop.keepAlive(true);
        startThread(mLoop);
        mClient = PlatformHttpClient.of(mLoop, Duration.ofSeconds(2));
    }

    @AfterEach
    void stop() throws IOException {
        mListener.close();
        mLoop.execute(
                () -> {
                    mClient.stop();
                    mLoop.keepAlive(false);
                    mLoop.breakEventloop();
                });
    }

    private static void startThread(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
    }

    /** Answers requests by their number, from 1. */
    private void serve(IntFunction<String> answers) {
        startThread(
                () -> {
                    while (!mListener.isClosed()) {
                        try {
                            Socket s = mListener.accept();
                            mConnections.incrementAndGet();
                            startThread(() -> serve(s, answers));
                        } catch (IOException e) {
                            return; // closed by the test
                        }
                    }
                });
    }

    private void serve(Socket s, IntFunction<String> answers) {
        try (s) {
            while (true) {
                readHead(s.getInputStream());
                String answer = answers.apply(mRequests.incrementAndGet());
                s.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            return; // closed by the client
        }
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("closed");
            }
            head.append((char) b);
        }
    }

    /** Returns the status of a call's response, or 0 if it failed. */
    private int call() throws Exception {
        String url = "http://127.0.0.1:" + mListener.getLocalPort() + "/x";
        CompletableFuture<Integer> status = new CompletableFuture<>();
        mLoop.execute(
                () ->
                        mClient.send("table", HttpMethod.GET, url, null)
                                .whenComplete(
                                        (r, e) ->
                                                status.complete(e == null ? r.status() : FAILED)));
        return status.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a part of a surplus response behind an earlier one joining the next. */
    @Test
    void surplusBehindAResponseDoesNotReachTheNextCall() throws Exception {
        serve(n -> n % 2 == 1 ? DONE + DONE.substring(0, (n + 1) / 2) : CONFLICT);
        for (int cut = 1; cut <= DONE.length(); cut++) {
            assertThat(call()).isEqualTo(200);
            assertWithMessage("byte %s", cut).that(call()).isEqualTo(409);
        }
    }

    /** Guards against a part of a surplus head before a response joining it. */
    @Test
    void partOfASurplusHeadBeforeAResponseIsNoSuccess() throws Exception {
        serve(n -> n % 2 == 1 ? DONE : HEAD.substring(0, n / 2) + CONFLICT);
        for (int cut = 1; cut < HEAD.length() - 1; cut++) {
            assertThat(call()).isEqualTo(200);
            assertWithMessage("byte %s", cut).that(call()).isNotEqualTo(200);
        }
    }

    /** Where a service sends bytes without end, until the client closes the connection. */
    private enum Endless {
        BLANK_LINES("", "\r\n"),
        STATUS_LINE("HTTP/1.1 200 ", "x"),
        HEADER_LINES("HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"),
        SHORT_HEADER_LINES("HTTP/1.1 200 OK\r\n", "a:\r\n"),
        INFORMATIONAL("", "HTTP/1.1 102 Processing\r\n\r\n"),
        BODY("HTTP/1.1 200 OK\r\n\r\n", "x"),
        BODY_OF_A_FAILURE("HTTP/1.1 500 Oops\r\n\r\n", "x"),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"),
        TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"),
        LONG_BODY("HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n", "x");

        private final String mBegin;
        private final String mRepeated;

        Endless(String begin, String repeated) {
            mBegin = begin;
            mRepeated = repeated;
        }
    }

    /** Guards against a call that keeps what a faulty service sends, or waits for its end. */
    @ParameterizedTest
    @EnumSource(Endless.class)
    void bytesWithoutEndFailTheCall(Endless e) throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        startThread(
                () -> {
                    String block = e.mRepeated.repeat(60_000 / e.mRepeated.length());
                    try (Socket s = mListener.accept()) {
                        readHead(s.getInputStream());
                        byte[] bytes = block.getBytes(StandardCharsets.ISO_8859_1);
                        s.getOutputStream().write(e.mBegin.getBytes(StandardCharsets.ISO_8859_1));
                        while (true) {
                            s.getOutputStream().write(bytes);
                        }
                    } catch (IOException x) {
                        closed.complete(null);
                    }
                });
        assertThat(call()).isEqualTo(FAILED);
        closed.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against closing connections whose responses are sound. */
    @Test
    void soundResponsesShareAConnection() throws Exception {
        serve(n -> n % 2 == 1 ? DONE : CONFLICT);
        for (int i = 0; i < 10; i++) {
            assertThat(call()).isEqualTo(200);
            assertThat(call()).isEqualTo(409);
        }
        assertThat(mConnections.get()).isEqualTo(1);
    }
}
