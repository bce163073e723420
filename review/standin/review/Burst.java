package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Ten clients send long requests one after another, others send short ones. In the disruption, the
 * long ones are 2.5 times as many for 6.6 seconds.
 */
final class Burst {
    private static final int USUAL_CLIENTS = 10;
    private static final int BURST_CLIENTS = 19;
    private static final long BURST_MILLIS = 6_600;
    private static final long LENGTH_MILLIS = 20_000;

    /** Below the limit of 4,194,304 in the configuration. */
    private static final int LONG_BYTES = 4_000_000;

    /** 29 clients at this rate take 348 Mbit/s of a link of 1,000 Mbit/s. */
    private static final int LONG_BYTES_PER_SECOND = 1_500_000;

    private static final int LONG_TIMEOUT_MILLIS = 10_000;
    private static final int SHORT_CLIENTS = 40;
    private static final int SHORT_PERIOD_MILLIS = 3_000;
    private static final int SHORT_TIMEOUT_MILLIS = 1_500;
    private static final int SERVERS = 4;
    private static final int SLOTS = 64;

    /** Time after the route's timeout within which the final answer is due. */
    private static final int SLACK_MILLIS = 500;

    /** How many answers have to be missing, and which share of the requests that outlast. */
    private static final int MIN_MISSING = 8;

    private static final double MIN_SHARE = 0.5;

    private final Record mRecord;
    private final Fleet mFleet;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final List<Future<?>> mPending = new ArrayList<>();
    private final long mStart = System.nanoTime();
    private volatile boolean mReceivesConnections = true;
    private int mRequests;
    private int mOutlasting;
    private int mMissing;

    private Burst(Record record, Fleet fleet) {
        mRecord = record;
        mFleet = fleet;
    }

    /** Returns whether the rule was broken. */
    static boolean run(Record record, Fleet fleet, boolean trouble) throws Exception {
        fleet.service("svc");
        fleet.route("/up/", "unsafe", 1, LONG_TIMEOUT_MILLIS, "svc");
        fleet.route("/get/", "safe", 1, SHORT_TIMEOUT_MILLIS, "svc");
        fleet.configure();
        for (int i = 0; i < SERVERS; i++) {
            Origin o = new Origin(fleet.ip, (h, in, out) -> serve(h, in, out, record));
            fleet.register("i-" + i, "svc", o.port(), SLOTS);
        }
        fleet.start();
        fleet.awaitReady();
        Thread.sleep(500);
        return new Burst(record, fleet).run(trouble);
    }

    private long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    private boolean run(boolean trouble) throws Exception {
        start(this::probe);
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            startUploads("usual-" + i, LENGTH_MILLIS - LONG_TIMEOUT_MILLIS);
        }
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            startShort("short-" + i);
            Thread.sleep(SHORT_PERIOD_MILLIS / SHORT_CLIENTS);
        }
        if (trouble) {
            mRecord.add(
                    "burst   begins: "
                            + BURST_CLIENTS
                            + " more clients send long requests for "
                            + BURST_MILLIS
                            + " ms");
            long until = millis() + BURST_MILLIS;
            for (int i = 0; i < BURST_CLIENTS; i++) {
                startUploads("burst-" + i, until);
            }
        }
        for (Future<?> f : mPending) {
            f.get();
        }
        mThreads.shutdown();
        mThreads.awaitTermination(1, TimeUnit.SECONDS);
        mRecord.add(
                "total   "
                        + mRequests
                        + " requests, "
                        + mOutlasting
                        + " without a final answer at their route's timeout, "
                        + mMissing
                        + " of them still "
                        + SLACK_MILLIS
                        + " ms later; router alive: "
                        + mFleet.isAlive());
        return mMissing >= MIN_MISSING && mMissing > MIN_SHARE * mOutlasting;
    }

    private void start(Task task) {
        mPending.add(
                mThreads.submit(
                        () -> {
                            task.run();
                            return null;
                        }));
    }

    private interface Task {
        void run() throws Exception;
    }

    /** Sends long requests one after another until a time. */
    private void startUploads(String name, long untilMillis) {
        start(
                () -> {
                    Client c = new Client(name);
                    for (int n = 0; millis() < untilMillis; n++) {
                        c.request("POST /up/x", LONG_BYTES, LONG_TIMEOUT_MILLIS);
                    }
                    c.close();
                });
    }

    /** Sends a short request at regular intervals. */
    private void startShort(String name) {
        start(
                () -> {
                    Client c = new Client(name);
                    while (millis() < LENGTH_MILLIS) {
                        long next = millis() + SHORT_PERIOD_MILLIS;
                        c.request("GET /get/x", 0, SHORT_TIMEOUT_MILLIS);
                        Thread.sleep(Math.max(0, next - millis()));
                    }
                    c.close();
                });
    }

    /**
     * Asks once a second whether the router is ready. After two misses in a row it receives no new
     * connections until it answers again; open ones remain.
     */
    private void probe() throws InterruptedException {
        int misses = 0;
        while (millis() < LENGTH_MILLIS) {
            long next = millis() + 1_000;
            int status = mFleet.readiness();
            misses = status == 200 ? 0 : misses + 1;
            mReceivesConnections = misses < 2;
            mRecord.add("system  readiness: " + (status == 0 ? "no answer" : status));
            Thread.sleep(Math.max(0, next - millis()));
        }
    }

    private static boolean serve(Http.Head h, InputStream in, OutputStream out, Record record)
            throws IOException, InterruptedException {
        String id = h.field("request-id");
        long length = Long.parseLong("0" + h.field("content-length"));
        in.skipNBytes(length);
        record.add("server  runs " + id + ", request body of " + length + " bytes");
        out.write(
                ("HTTP/1.1 200 OK\r\nRequest-Id: "
                                + id
                                + "\r\nResponse-Signature: sig."
                                + id
                                + "\r\nContent-Length: 2\r\n\r\nok")
                        .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    /** A client with one connection, which it keeps while it is answered. */
    private final class Client {
        private final String mName;
        private Socket mSocket;
        private int mSent;

        Client(String name) {
            mName = name;
        }

        void close() throws IOException {
            if (mSocket != null) {
                mSocket.close();
                mSocket = null;
            }
        }

        void request(String line, int bytes, int timeoutMillis) throws Exception {
            String id = mName + "-" + mSent++;
            int deadlineMillis = timeoutMillis + 2 * SLACK_MILLIS;
            try {
                if (mSocket == null && !mReceivesConnections) {
                    Thread.sleep(SLACK_MILLIS);
                    return;
                }
                if (mSocket == null) {
                    mSocket = new Socket(mFleet.ip, mFleet.callers);
                }
                mSocket.setSoTimeout(deadlineMillis);
                OutputStream out = mSocket.getOutputStream();
                String head =
                        line
                                + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                                + id
                                + "\r\nRequest-Deadline-Ms: "
                                + deadlineMillis
                                + "\r\nAuthorization: Bearer key1\r\n"
                                + (bytes > 0 ? "Content-Length: " + bytes + "\r\n" : "")
                                + "\r\n";
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                Http.sendZeros(out, bytes, LONG_BYTES_PER_SECOND);
                mRecord.add("client  has sent " + id);
            } catch (IOException e) {
                mRecord.add("client  cannot send " + id + ": " + e.getMessage());
                close();
                return;
            }
            awaitAnswer(id, timeoutMillis);
        }

        /** Waits for the final answer; the time runs from the last byte that was sent. */
        private void awaitAnswer(String id, int timeoutMillis) throws Exception {
            long sent = System.nanoTime();
            String outcome;
            boolean ended = true;
            try {
                Http.Head h = Http.readHead(mSocket.getInputStream());
                Http.Body b = Http.readBody(mSocket.getInputStream(), h, Http.UNLIMITED);
                outcome = h.line() + (b.complete() ? "" : ", incomplete");
                if (!b.complete() || h.field("connection").equalsIgnoreCase("close")) {
                    close();
                }
            } catch (SocketTimeoutException e) {
                outcome = "nothing";
                ended = false;
                close();
            } catch (IOException e) {
                outcome = "a closed connection";
                close();
            }
            long millis = (System.nanoTime() - sent) / 1_000_000;
            mRecord.add("client  gets for " + id + " after " + millis + " ms: " + outcome);
            count(!ended || millis > timeoutMillis, !ended || millis > timeoutMillis + SLACK_MILLIS);
        }
    }

    private synchronized void count(boolean outlasts, boolean missing) {
        mRequests++;
        mOutlasting += outlasts ? 1 : 0;
        mMissing += missing ? 1 : 0;
    }
}
