package review2;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients read long streams slowly, each well before its deadline. */
final class SlowStreamsCase {
    private static final int CLIENTS = 240;
    private static final int SERVERS = 6;
    private static final int EVENT_BYTES = 4_000;
    private static final int EVENTS = 2_500;
    private static final long CLIENT_BYTES_PER_SECOND = 200_000;

    /** All servers together: 880 Mbit/s, less than the link of the machine. */
    private static final long SERVER_BYTES_PER_MILLI = 110_000;

    private static final long TIMEOUT_MILLIS = 90_000;
    private static final int RECEIVE_BUFFER = 32_768;
    private static final int ALLOWED = 3;

    private static double sTokens;
    private static long sFilledAt = System.nanoTime();

    private SlowStreamsCase() {}

    public static void main(String[] args) throws IOException {
        Lab.run(args, SlowStreamsCase::isBroken);
    }

    private static boolean isBroken(Lab lab) throws Exception {
        lab.mStore.put(
                "op",
                "config",
                Lab.config(
                        5,
                        List.of(
                                Lab.route("/watch/", "streaming", TIMEOUT_MILLIS, 1),
                                Lab.route("/read/", "safe", TIMEOUT_MILLIS, 1)),
                        Lab.limits(16_384, 4_194_304, 15_000)));
        for (int i = 1; i <= SERVERS; i++) {
            AppServer server = lab.server(i, SlowStreamsCase::serve);
            lab.mStore.put("servers", server.id(), server.entry("desk", "ready", 1));
        }
        Lab.RouterProcess router = lab.router(1, lab.mStore.address());
        router.start();
        router.awaitReady();
        Lab.sleep(4_000);
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            String id = "stream-" + i;
            Lab.thread(
                    () -> {
                        try {
                            read(lab, router, id, cut, refused);
                        } catch (IOException e) {
                            Record.line("%s: %s", id, e);
                            cut.incrementAndGet();
                        }
                        done.countDown();
                    });
            Lab.sleep(20);
        }
        done.await();
        Record.line(
                "router's log: slow_reader_closed %d, broken_off %d",
                router.log("\"slow_reader_closed\"").size(), router.log("\"broken_off\"").size());
        Record.line(
                "%d of %d kept connections closed before the end of the stream, %d refused;"
                        + " allowed %d",
                cut.get(), CLIENTS, refused.get(), ALLOWED);
        return cut.get() > ALLOWED;
    }

    private static void serve(AppServer server, Http http, AppServer.Run run)
            throws IOException, InterruptedException {
        if (run.path().startsWith("/read/")) {
            AppServer.answer(http, run, AppServer.text("ready"));
            return;
        }
        http.write(
                "HTTP/1.1 200 OK\r\nRequest-Id: "
                        + run.id()
                        + "\r\nResponse-Signature: sig-"
                        + run.id()
                        + "\r\nContent-Type: text/event-stream"
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n",
                new byte[0]);
        String data = "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n";
        for (int i = 1; i <= EVENTS; i++) {
            String event = "id: " + i + data;
            awaitTurn(event.length());
            http.write(
                    Integer.toHexString(event.length()) + "\r\n" + event + "\r\n", new byte[0]);
        }
        http.write("0\r\n\r\n", new byte[0]);
    }

    /** Keeps the rate of all servers below that of the link. */
    private static void awaitTurn(int bytes) throws InterruptedException {
        while (true) {
            synchronized (SlowStreamsCase.class) {
                long now = System.nanoTime();
                double filled = sTokens + (now - sFilledAt) / 1e6 * SERVER_BYTES_PER_MILLI;
                sTokens = Math.min(20 * SERVER_BYTES_PER_MILLI, filled);
                sFilledAt = now;
                if (sTokens >= bytes) {
                    sTokens -= bytes;
                    return;
                }
            }
            Thread.sleep(2);
        }
    }

    private static void read(
            Lab lab,
            Lab.RouterProcess router,
            String id,
            AtomicInteger cut,
            AtomicInteger refused)
            throws IOException {
        try (Http c = router.connect()) {
            c.mSocket.setReceiveBufferSize(RECEIVE_BUFFER);
            c.write(Lab.head("GET", "/read/x", id + "-a", TIMEOUT_MILLIS, 0, ""), new byte[0]);
            if (c.answer().status() != 200) {
                throw new IOException("first request not answered");
            }
            c.write(Lab.head("POST", "/watch/x", id, TIMEOUT_MILLIS, 0, ""), new byte[0]);
            long started = Record.millis();
            Http.Head head = c.head().orElseThrow(() -> new IOException("no answer"));
            if (head.status() != 200) {
                Record.line("%s: status %d", id, head.status());
                refused.incrementAndGet();
                return;
            }
            byte[] part = new byte[1 << 13];
            String tail = "";
            long got = 0;
            while (!tail.endsWith("0\r\n\r\n")) {
                int n;
                try {
                    n = c.mIn.read(part);
                } catch (IOException e) {
                    n = -1;
                }
                if (n < 0) {
                    Record.line(
                            "%s: cut after %d B and %.1f s, deadline %d s",
                            id,
                            got,
                            (Record.millis() - started) / 1000.0,
                            TIMEOUT_MILLIS / 1000);
                    cut.incrementAndGet();
                    return;
                }
                got += n;
                tail = new String(part, Math.max(0, n - 5), Math.min(5, n));
                long due = started + (lab.mTrouble ? got * 1_000 / CLIENT_BYTES_PER_SECOND : 0);
                long early = due - Record.millis();
                if (early > 0) {
                    Lab.sleep(early);
                }
            }
            Record.line("%s: whole, %d B in %.1f s", id, got, (Record.millis() - started) / 1000.0);
        }
    }
}
