package org.forkseam.daemon.sidecar;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;

import org.forkseam.wire.proto.Header;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Tests which bytes on the connection of an engine count as the response to a request. */
class HttpTargetClientTest {
    private static final String DONE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    private static final String ERROR = "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\noops";
    private static final long SETTLE_MILLIS = 100;
    private static final long WAIT_SECONDS = 5;

    private final AtomicInteger mRequests = new AtomicInteger();
    private final Eventloop mLoop = Eventloop.builder().build();
    private ServerSocket mListener;
    private Thread mLoopThread;
    private HttpTargetClient mClient;

    @BeforeEach
    void start() throws IOException {
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mLoop.keepAlive(true);
        mLoopThread = new Thread(mLoop);
        mLoopThread.setDaemon(true);
        mLoopThread.start();
    }

    @AfterEach
    void stop() throws Exception {
        mClient.stop().get(WAIT_SECONDS, TimeUnit.SECONDS);
        mListener.close();
        mLoop.keepAlive(false);
        mLoop.execute(mLoop::breakEventloop);
    }

    /** Sends the bytes of the first request's connection, and errors from then on. */
    private void serve(String first, String afterwards, String beforeNext) {
        Thread t =
                new Thread(
                        () -> {
                            while (!mListener.isClosed()) {
                                acceptOne(first, afterwards, beforeNext);
                            }
                        });
        t.setDaemon(true);
        t.start();
    }

    private void acceptOne(String first, String afterwards, String beforeNext) {
        try {
            Socket s = mListener.accept();
            Thread t = new Thread(() -> serve(s, first, afterwards, beforeNext));
            t.setDaemon(true);
            t.start();
        } catch (IOException e) {
            return; // closed by the test
        }
    }

    private void serve(Socket s, String first, String afterwards, String beforeNext) {
        try (s) {
            while (true) {
                readHead(s.getInputStream());
                if (mRequests.incrementAndGet() > 1) {
                    send(s, beforeNext + ERROR);
                    continue;
                }
                send(s, first);
                Thread.sleep(SETTLE_MILLIS);
                send(s, afterwards);
            }
        } catch (IOException e) {
            return; // closed by the client
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
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

    /** Returns the status of a whole response, or 0 after a failure. */
    private int call(TargetClient client) throws Exception {
        CompletableFuture<Integer> end = new CompletableFuture<>();
        TargetClient.Request r =
                new TargetClient.Request("id", "GET", "/x", List.of(), new byte[0]);
        mLoop.execute(() -> client.send(r, new Recorder(end)));
        return end.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private TargetClient client() throws Exception {
        mClient = HttpTargetClient.of(mLoop, "http://127.0.0.1:" + mListener.getLocalPort());
        mClient.start().get(WAIT_SECONDS, TimeUnit.SECONDS);
        return mClient;
    }

    /** Guards against a part of a surplus head in the read of a response joining the next one. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: ", DONE})
    void surplusBehindAResponseIsNoSuccess(String surplus) throws Exception {
        serve(DONE + surplus, "", "");
        TargetClient client = client();
        assertThat(call(client)).isEqualTo(200);
        Thread.sleep(2 * SETTLE_MILLIS);
        assertThat(call(client)).isNotEqualTo(200);
    }

    /** Guards against a part of a surplus head between two exchanges joining the next response. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: ", DONE})
    void surplusBetweenExchangesIsNoSuccess(String surplus) throws Exception {
        serve(DONE, surplus, "");
        TargetClient client = client();
        assertThat(call(client)).isEqualTo(200);
        Thread.sleep(3 * SETTLE_MILLIS);
        assertThat(call(client)).isNotEqualTo(200);
    }

    /** Guards against a part of a surplus head before a response joining it. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: "})
    void surplusBeforeAResponseIsNoSuccess(String surplus) throws Exception {
        serve(DONE, "", surplus);
        TargetClient client = client();
        assertThat(call(client)).isEqualTo(200);
        Thread.sleep(2 * SETTLE_MILLIS);
        assertThat(call(client)).isNotEqualTo(200);
    }

    /** Records how a call ends. */
    private static final class Recorder implements TargetClient.Listener {
        private final CompletableFuture<Integer> mEnd;
        private int mStatus;

        Recorder(CompletableFuture<Integer> end) {
            mEnd = end;
        }

        @Override
        public void onHead(int status, List<Header> headers) {
            mStatus = status;
        }

        @Override
        public void onData(byte[] data) {}

        @Override
        public void onEnd() {
            mEnd.complete(mStatus);
        }

        @Override
        public void onNotSent(Exception cause) {
            mEnd.complete(0);
        }

        @Override
        public void onFailed(Exception cause) {
            mEnd.complete(0);
        }
    }
}
