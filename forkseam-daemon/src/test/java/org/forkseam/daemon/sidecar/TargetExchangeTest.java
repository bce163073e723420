package org.forkseam.daemon.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.activej.eventloop.Eventloop;

import org.forkseam.wire.proto.Header;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Tests the exchanges of a sidecar's client with an engine: reuse, backpressure, close, stop. */
class TargetExchangeTest {
    private static final long WAIT_SECONDS = 10;
    private static final long SETTLE_MILLIS = 300;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String ERROR = "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\noops";

    private final AtomicInteger mConnections = new AtomicInteger();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final CountDownLatch mClosed = new CountDownLatch(1);
    private final Eventloop mLoop = Eventloop.builder().build();
    private ServerSocket mListener;
    private HttpTargetClient mClient;

    /** Responds to one request. */
    private interface Script {
        void respond(int number, String request, OutputStream out) throws Exception;
    }

    @BeforeEach
    void start() throws Exception {
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mLoop.keepAlive(true);
        startThread(mLoop);
        mClient = HttpTargetClient.of(mLoop, "http://127.0.0.1:" + mListener.getLocalPort());
        mClient.start().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        mClient.stop().get(WAIT_SECONDS, TimeUnit.SECONDS);
        mListener.close();
        mLoop.keepAlive(false);
        mLoop.execute(mLoop::breakEventloop);
    }

    private static void startThread(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
    }

    private void serve(Script script) {
        startThread(
                () -> {
                    while (!mListener.isClosed()) {
                        try {
                            Socket s = mListener.accept();
                            mConnections.incrementAndGet();
                            startThread(() -> serve(s, script));
                        } catch (IOException e) {
                            return; // closed by the test
                        }
                    }
                });
    }

    private void serve(Socket s, Script script) {
        try (s) {
            while (true) {
                String request = readRequest(s.getInputStream());
                script.respond(mRequests.incrementAndGet(), request, s.getOutputStream());
            }
        } catch (IOException e) {
            mClosed.countDown();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** Reads a head and a body of the announced length. */
    private static String readRequest(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("closed");
            }
            text.append((char) b);
        }
        for (String line : text.toString().split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                int length = Integer.parseInt(line.substring(15).trim());
                text.append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
            }
        }
        return text.toString();
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static TargetClient.Request request(String id) {
        return new TargetClient.Request(id, "GET", "/x", List.of(), new byte[0]);
    }

    private Recorder call(TargetClient.Request r) {
        Recorder recorder = new Recorder();
        mLoop.execute(() -> recorder.mCall.complete(mClient.send(r, recorder)));
        return recorder;
    }

    private void onLoop(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    task.run();
                    done.complete(null);
                });
        done.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against closing connections whose responses are sound. */
    @Test
    void soundResponsesShareAConnection() throws Exception {
        List<String> sound =
                List.of(
                        OK + "Content-Length: 4\r\n\r\nbody",
                        OK + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
                        "HTTP/1.1 100 Continue\r\n\r\n" + OK + "Content-Length: 4\r\n\r\nbody",
                        OK + "X-Request-Id: of-the-engine\r\nContent-Length: 4\r\n\r\nbody");
        serve((n, r, out) -> send(out, sound.get(n % sound.size())));
        for (int i = 0; i < 20; i++) {
            Recorder end = call(request("id-" + i));
            assertThat(end.await()).isEqualTo("end 200");
            assertThat(end.body()).isEqualTo("body");
        }
        assertThat(mConnections.get()).isEqualTo(1);
    }

    /** Guards against a success made of a part of a surplus response, cut at each of its bytes. */
    @Test
    void partOfASurplusHeadBeforeAnErrorIsNeverASuccess() throws Exception {
        String head = OK + "Content-Length: 4\r\n\r\n";
        serve(
                (n, r, out) ->
                        send(
                                out,
                                r.contains("X-Request-Id: sound")
                                        ? OK + "Content-Length: 4\r\n\r\nbody"
                                        : head.substring(0, n / 2) + ERROR));
        for (int cut = 1; cut < head.length() - 1; cut++) {
            assertThat(call(request("sound-" + cut)).await()).isEqualTo("end 200");
            assertWithMessage("byte %s", cut)
                    .that(call(request("faulty-" + cut)).await())
                    .isAnyOf("failed", "end 500");
        }
    }

    /** Guards against bytes behind a response that reach the next, or cost its response. */
    @Test
    void bytesBehindAResponseReachNoOther() throws Exception {
        String done = OK + "Content-Length: 4\r\n\r\nbody";
        serve((n, r, out) -> send(out, n % 2 == 1 ? done + done.substring(0, (n + 1) / 2) : ERROR));
        for (int cut = 1; cut <= done.length(); cut++) {
            assertThat(call(request("a-" + cut)).await()).isEqualTo("end 200");
            assertWithMessage("byte %s", cut)
                    .that(call(request("b-" + cut)).await())
                    .isEqualTo("end 500");
        }
    }

    /** Guards against a late response that names its request being taken for the next one's. */
    @Test
    void lateResponseThatNamesAnEarlierRequestIsSkipped() throws Exception {
        String late = OK + "X-Request-Id: first\r\nContent-Length: 4\r\n\r\nlate";
        String due = OK + "X-Request-Id: second\r\nContent-Length: 4\r\n\r\nbody";
        serve((n, r, out) -> send(out, n == 1 ? late : late + due));
        assertThat(call(request("first")).await()).isEqualTo("end 200");
        Recorder second = call(request("second"));
        assertThat(second.await()).isEqualTo("end 200");
        assertThat(second.body()).isEqualTo("body");
    }

    /** Guards against requests that lose their body or fields. */
    @Test
    void requestArrivesWhole() throws Exception {
        CompletableFuture<String> received = new CompletableFuture<>();
        serve(
                (n, r, out) -> {
                    received.complete(r);
                    send(out, OK + "Content-Length: 0\r\n\r\n");
                });
        List<Header> headers =
                List.of(
                        Header.newBuilder().setName("X-A").setValue("1").build(),
                        Header.newBuilder().setName("X-A").setValue("2").build(),
                        Header.newBuilder().setName("Connection").setValue("close").build());
        byte[] body = "hello".getBytes(StandardCharsets.UTF_8);
        String end =
                call(new TargetClient.Request("id", "POST", "/a/b?c=d", headers, body)).await();
        assertThat(end).isEqualTo("end 200");
        String r = received.get();
        assertThat(r).startsWith("POST /a/b?c=d HTTP/1.1\r\n");
        assertThat(r).endsWith("\r\n\r\nhello");
        assertThat(r).contains("X-A: 1\r\n");
        assertThat(r).contains("X-A: 2\r\n");
        assertThat(r).contains("X-Request-Id: id\r\n");
        assertThat(r.toLowerCase(Locale.ROOT))
                .contains("host: 127.0.0.1:" + mListener.getLocalPort() + "\r\n");
        assertThat(r).doesNotContain("close");
    }

    /** Guards against compressed responses, in which no events and token counts can be read. */
    @Test
    void compressedResponsesAreNotRequested() throws Exception {
        serve(
                (n, r, out) -> {
                    boolean asked = r.toLowerCase(Locale.ROOT).contains("accept-encoding");
                    send(out, asked ? ERROR : OK + "Content-Length: 0\r\n\r\n");
                });
        List<Header> headers =
                List.of(Header.newBuilder().setName("Accept-Encoding").setValue("gzip").build());
        TargetClient.Request r = new TargetClient.Request("id", "GET", "/", headers, new byte[0]);
        assertThat(call(r).await()).isEqualTo("end 200");
    }

    /** Guards against a request that is reported as not sent although a target may have run it. */
    @Test
    void onlyAFailedConnectIsNotSent() throws Exception {
        serve(
                (n, r, out) -> {
                    throw new IOException("closes without a response");
                });
        assertThat(call(request("a")).await()).isEqualTo("failed");
        mListener.close();
        assertThat(call(request("b")).await()).isEqualTo("not sent");
    }

    /** Guards against a request that ends the event loop or is never answered. */
    @Test
    void requestThatHttpCannotCarryFails() throws Exception {
        serve((n, r, out) -> send(out, OK + "Content-Length: 0\r\n\r\n"));
        List<Header> headers =
                List.of(Header.newBuilder().setName("X-A").setValue("1\r\nX-B: 2").build());
        String end = call(new TargetClient.Request("id", "GET", "/", headers, new byte[0])).await();
        assertThat(end).isEqualTo("failed");
        assertThat(mRequests.get()).isEqualTo(0);
    }

    /** Guards against a response that is buffered without bound while nobody reads it. */
    @Test
    void pausedReadingHoldsUpTheTarget() throws Exception {
        int size = 64 << 20;
        AtomicLong written = new AtomicLong();
        serve(
                (n, r, out) -> {
                    send(out, OK + "Content-Length: " + size + "\r\n\r\n");
                    byte[] part = new byte[64 << 10];
                    for (int i = 0; i < size; i += part.length) {
                        out.write(part);
                        written.addAndGet(part.length);
                    }
                });
        Recorder r = new Recorder();
        r.mKeepsBody = false;
        onLoop(
                () -> {
                    r.mCall.complete(mClient.send(request("id"), r));
                    r.mCall.join().setReading(false);
                });
        long before = -1;
        while (written.get() != before || before <= 0) {
            before = written.get();
            Thread.sleep(SETTLE_MILLIS);
        }
        assertThat(before).isLessThan(size / 2L);
        assertThat(r.mReceived.get()).isEqualTo(0);
        onLoop(() -> r.mCall.join().setReading(true));
        assertThat(r.await()).isEqualTo("end 200");
        assertThat(r.mReceived.get()).isEqualTo(size);
    }

    /** Guards against an engine that goes on with a request that nobody waits for. */
    @Test
    void closeAbortsTheExchange() throws Exception {
        serve((n, r, out) -> send(out, OK + "Content-Length: 8\r\n\r\nhalf"));
        Recorder r = call(request("id"));
        r.mFirstData.await(WAIT_SECONDS, TimeUnit.SECONDS);
        onLoop(() -> r.mCall.join().close());
        assertThat(mClosed.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        Thread.sleep(SETTLE_MILLIS);
        assertThat(r.mEnd.isDone()).isFalse();
    }

    /**
     * Guards against threads and connections that outlive the client, and against streams that a
     * stop ends as failed, which a restarted sidecar could not resume.
     */
    @Test
    void stopEndsConnectionsAndThreadSilently() throws Exception {
        serve((n, r, out) -> send(out, OK + "Content-Length: 8\r\n\r\nhalf"));
        Recorder r = call(request("id"));
        r.mFirstData.await(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(clientThreads()).isEqualTo(1);
        mClient.stop().get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(mClosed.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(call(request("after")).await()).isEqualTo("failed");
        assertThat(r.mEnd.isDone()).isFalse();
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (clientThreads() > 0 && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
        assertThat(clientThreads()).isEqualTo(0);
    }

    private static long clientThreads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().startsWith(HttpTargetClient.NAME))
                .count();
    }

    /** Records a response and how it ends. */
    private static final class Recorder implements TargetClient.Listener {
        private final CompletableFuture<TargetClient.Call> mCall = new CompletableFuture<>();
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();
        private final CountDownLatch mFirstData = new CountDownLatch(1);
        private final AtomicLong mReceived = new AtomicLong();
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private boolean mKeepsBody = true;
        private int mStatus;

        String await() throws Exception {
            return mEnd.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }

        String body() {
            return mBody.toString(StandardCharsets.ISO_8859_1);
        }

        @Override
        public void onHead(int status, List<Header> headers) {
            mStatus = status;
        }

        @Override
        public void onData(byte[] data) {
            mReceived.addAndGet(data.length);
            if (mKeepsBody) {
                mBody.writeBytes(data);
            }
            mFirstData.countDown();
        }

        @Override
        public void onEnd() {
            mEnd.complete("end " + mStatus);
        }

        @Override
        public void onNotSent(Exception cause) {
            mEnd.complete("not sent");
        }

        @Override
        public void onFailed(Exception cause) {
            mEnd.complete("failed");
        }
    }
}
