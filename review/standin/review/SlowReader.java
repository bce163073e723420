package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A router gets SIGTERM while clients are still reading long answers. */
final class SlowReader {
    private static final int ANSWER_BYTES = 8 << 20;
    /** The answer takes 6.5 seconds: less than the grace period after SIGTERM. */
    private static final int BYTES_PER_SECOND = 1_300_000;
    private static final int CLIENTS = 4;
    private static final int TERM_AFTER_MILLIS = 500;
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final int GRACE_MILLIS = 8_000;

    private SlowReader() {}

    /** Returns whether the rule was broken. */
    static boolean run(Record record, Fleet fleet, boolean trouble) throws Exception {
        Origin origin = new Origin(fleet.ip, (h, in, out) -> answer(h, out, record));
        fleet.service("svc");
        fleet.route("/get/", "safe", 1, TIMEOUT_MILLIS, "svc");
        fleet.configure();
        fleet.register("i-a", "svc", origin.port(), 8);
        fleet.start();
        fleet.awaitReady();
        Thread.sleep(500);
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Future<Boolean>> answers = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "req-" + i;
            answers.add(threads.submit(() -> request(fleet, record, id)));
        }
        if (trouble) {
            Thread.sleep(TERM_AFTER_MILLIS);
            record.add("system  SIGTERM to the router; grace period of 8 s");
            fleet.terminate();
            threads.submit(() -> recordExit(fleet, record));
        }
        int cut = 0;
        for (Future<Boolean> a : answers) {
            cut += a.get() ? 1 : 0;
        }
        threads.shutdownNow();
        record.add("total   " + cut + " of " + CLIENTS + " answers were cut");
        return cut > 0;
    }

    private static Void recordExit(Fleet fleet, Record record) throws InterruptedException {
        long at = System.nanoTime();
        boolean left = fleet.awaitExit(GRACE_MILLIS);
        long took = (System.nanoTime() - at) / 1_000_000;
        record.add("system  router " + (left ? "has ended by itself" : "still runs") + " " + took
                + " ms after SIGTERM");
        return null;
    }

    private static boolean answer(Http.Head h, OutputStream out, Record record)
            throws IOException {
        String id = h.field("request-id");
        record.add("server  runs " + id);
        String head =
                "HTTP/1.1 200 OK\r\nRequest-Id: "
                        + id
                        + "\r\nResponse-Signature: sig."
                        + id
                        + "\r\nContent-Length: "
                        + ANSWER_BYTES
                        + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(new byte[ANSWER_BYTES]);
        out.flush();
        record.add("server  has sent the whole answer to " + id);
        return true;
    }

    /** Returns whether the answer is cut off. */
    private static boolean request(Fleet fleet, Record record, String id) throws Exception {
        try (Socket s = new Socket()) {
            s.setReceiveBufferSize(65_536);
            s.connect(new InetSocketAddress(fleet.ip, fleet.callers));
            s.setSoTimeout(10_000);
            String head =
                    "GET /get/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                            + id
                            + "\r\nRequest-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\nAuthorization: Bearer key1\r\n\r\n";
            s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            record.add("client  sends " + id + ", reads " + BYTES_PER_SECOND + " bytes a second");
            Http.Head h = Http.readHead(s.getInputStream());
            Http.Body b = Http.readBody(s.getInputStream(), h, BYTES_PER_SECOND);
            record.add(
                    "client  gets "
                            + h.line()
                            + " for "
                            + id
                            + ", "
                            + b.bytes().length
                            + " of "
                            + ANSWER_BYTES
                            + " bytes, "
                            + (b.complete() ? "complete (" : "incomplete (")
                            + b.end()
                            + ")");
            return !b.complete();
        }
    }
}
