package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The operator takes away the keys of the only tenant, one after the other. */
final class Revoke {
    private static final List<String> KEYS = List.of("key1", "key2");
    private static final int STRANGERS = 10;
    private static final int GAP_MILLIS = 500;
    private static final int CONFIG_APPLY_MILLIS = 2_000;
    private static final int MARGIN_MILLIS = 1_000;
    private static final int TIMEOUT_MILLIS = 3_000;

    private final Record mRecord;
    private final Fleet mFleet;
    private final Set<String> mRun = ConcurrentHashMap.newKeySet();

    private Revoke(Record record, Fleet fleet) {
        mRecord = record;
        mFleet = fleet;
    }

    /** Returns whether the rule was broken. */
    static boolean run(Record record, Fleet fleet, boolean trouble) throws Exception {
        return new Revoke(record, fleet).run(trouble);
    }

    private boolean run(boolean trouble) throws Exception {
        Origin origin = new Origin(mFleet.ip, (h, in, out) -> serve(h, out));
        mFleet.service("svc");
        mFleet.route("/get/", "unsafe", 1, TIMEOUT_MILLIS, "svc");
        mFleet.setKeys(KEYS);
        mFleet.configure();
        mFleet.register("i-a", "svc", origin.port(), 6);
        mFleet.start();
        mFleet.awaitReady();
        Thread.sleep(MARGIN_MILLIS);
        for (String key : KEYS) {
            request("before-" + key, key);
        }
        request("before-stranger", "stranger");
        if (trouble) {
            for (int i = 1; i <= KEYS.size(); i++) {
                Thread.sleep(GAP_MILLIS);
                mFleet.setKeys(KEYS.subList(i, KEYS.size()));
                mFleet.configure();
                mRecord.add("system  the store acknowledges: " + KEYS.get(i - 1) + " is taken away");
            }
            Thread.sleep(CONFIG_APPLY_MILLIS + MARGIN_MILLIS);
        }
        int strangers = 0;
        for (int i = 0; i < STRANGERS; i++) {
            strangers += request("stranger-" + i, "never-held-" + i) ? 1 : 0;
        }
        int dropped = 0;
        for (String key : trouble ? KEYS : List.<String>of()) {
            dropped += request("dropped-" + key, key) ? 1 : 0;
        }
        mRecord.add(
                "total   "
                        + strangers
                        + " of "
                        + STRANGERS
                        + " requests ran whose key no configuration ever held, and "
                        + dropped
                        + " whose key was taken away");
        return strangers + dropped > 0;
    }

    private boolean serve(Http.Head h, OutputStream out) throws IOException {
        String id = h.field("request-id");
        mRun.add(id);
        mRecord.add("server  runs " + id + ", tenant '" + h.field("tenant") + "'");
        String answer =
                "HTTP/1.1 200 OK\r\nRequest-Id: "
                        + id
                        + "\r\nResponse-Signature: sig."
                        + id
                        + "\r\nContent-Length: 2\r\n\r\nok";
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    /** Sends a request; returns whether a server ran it. */
    private boolean request(String id, String key) throws Exception {
        try (Socket s = new Socket(mFleet.ip, mFleet.callers)) {
            s.setSoTimeout(TIMEOUT_MILLIS);
            String head =
                    "GET /get/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                            + id
                            + "\r\nRequest-Deadline-Ms: "
                            + TIMEOUT_MILLIS
                            + "\r\nAuthorization: Bearer "
                            + key
                            + "\r\n\r\n";
            s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            mRecord.add("client  sends " + id + " with the key " + key);
            mRecord.add("client  gets for " + id + ": " + Http.readHead(s.getInputStream()).line());
        }
        return mRun.contains(id);
    }
}
