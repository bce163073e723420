package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** One of four servers is killed while it answers long requests. */
final class Crash {
    private static final int SERVERS = 4;
    private static final int REQUESTS = 8;
    private static final int REQUEST_BYTES = 4_000_000;
    private static final int TIMEOUT_MILLIS = 8_000;

    /** Time from the first part of an answer to the crash. */
    private static final int CRASH_AFTER_MILLIS = 400;

    private final Record mRecord;
    private final Fleet mFleet;

    private Crash(Record record, Fleet fleet) {
        mRecord = record;
        mFleet = fleet;
    }

    /** Returns whether the rule was broken. */
    static boolean run(Record record, Fleet fleet, boolean trouble) throws Exception {
        return new Crash(record, fleet).run(trouble);
    }

    private boolean run(boolean trouble) throws Exception {
        mFleet.service("svc");
        mFleet.route("/up/", "unsafe", 1, TIMEOUT_MILLIS, "svc");
        mFleet.configure();
        CountDownLatch firstAnswers = new CountDownLatch(1);
        Process victim = startServer("i-0", firstAnswers);
        for (int i = 1; i < SERVERS; i++) {
            startServer("i-" + i, new CountDownLatch(1));
        }
        mFleet.start();
        mFleet.awaitReady();
        Thread.sleep(500);
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<Boolean>> results = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "req-" + i;
            results.add(clients.submit(() -> request(id)));
        }
        if (!firstAnswers.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new IOException("no request reached the server i-0");
        }
        Thread.sleep(CRASH_AFTER_MILLIS);
        if (trouble) {
            victim.destroyForcibly();
            mRecord.add("server  i-0 is killed (SIGKILL)");
        }
        int bad = 0;
        for (Future<Boolean> r : results) {
            bad += r.get() ? 1 : 0;
        }
        clients.shutdown();
        mRecord.add("total   " + bad + " of " + REQUESTS + " requests got a cut answer as a whole");
        return bad > 0;
    }

    private Process startServer(String id, CountDownLatch firstRun) throws IOException {
        Process p =
                mFleet.own(
                        new ProcessBuilder(
                                        "java",
                                        "-Xmx64m",
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        "review.EarlyServer",
                                        mFleet.ip)
                                .redirectError(ProcessBuilder.Redirect.DISCARD)
                                .start());
        BufferedReader out = new BufferedReader(new InputStreamReader(p.getInputStream()));
        mFleet.register(id, "svc", Integer.parseInt(out.readLine().split(" ")[1]), 6);
        Thread reader =
                new Thread(
                        () ->
                                out.lines()
                                        .forEach(
                                                line -> {
                                                    mRecord.add("server  " + id + " " + line);
                                                    if (line.startsWith("runs")) {
                                                        firstRun.countDown();
                                                    }
                                                }));
        reader.setDaemon(true);
        reader.start();
        return p;
    }

    /** Returns whether the caller got a success that is not the server's whole body. */
    private boolean request(String id) throws Exception {
        try (Socket s = new Socket(mFleet.ip, mFleet.callers)) {
            s.setSoTimeout(TIMEOUT_MILLIS);
            OutputStream out = s.getOutputStream();
            String head =
                    "POST /up/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                            + id
                            + "\r\nRequest-Deadline-Ms: "
                            + TIMEOUT_MILLIS
                            + "\r\nAuthorization: Bearer key1\r\nContent-Length: "
                            + REQUEST_BYTES
                            + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            Http.sendZeros(out, REQUEST_BYTES, Http.UNLIMITED);
            mRecord.add("client  has sent " + id + ", request body of " + REQUEST_BYTES + " bytes");
            Http.Head h = Http.readHead(s.getInputStream());
            Http.Body b = Http.readBody(s.getInputStream(), h, Http.UNLIMITED);
            String signature = h.field("response-signature");
            boolean isServers =
                    signature.equals(EarlyServer.signature(id))
                            && Arrays.equals(b.bytes(), EarlyServer.answer(id));
            mRecord.add(
                    "client  gets for "
                            + id
                            + ": "
                            + h.line()
                            + ", signature '"
                            + signature
                            + "', "
                            + b.bytes().length
                            + " bytes, "
                            + (b.complete() ? "complete by its " : "incomplete: ")
                            + b.end()
                            + (h.status() == 200 && !isServers
                                    ? "; the server's body has " + EarlyServer.ANSWER_BYTES
                                    : ""));
            return h.status() / 100 == 2 && b.complete() && !isServers;
        } catch (IOException e) {
            mRecord.add("client  gets no answer for " + id + ": " + e);
            return false;
        }
    }
}
