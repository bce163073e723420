package review2;

import java.io.IOException;
import java.util.List;

/** Clients read large answers slowly, for longer than the idle time-out. */
final class SlowReaderCase {
    private static final int ANSWER_BYTES = 12_000_000;
    private static final long IDLE_MILLIS = 5_000;
    private static final long READ_MILLIS = 15_000;
    private static final long TIMEOUT_MILLIS = 30_000;
    private static final int RECEIVE_BUFFER = 32_768;
    private static final int REQUESTS = 5;
    private static final int ALLOWED = 3;

    private SlowReaderCase() {}

    public static void main(String[] args) throws IOException {
        Lab.run(args, SlowReaderCase::isBroken);
    }

    private static boolean isBroken(Lab lab) throws Exception {
        AppServer server =
                lab.server(
                        1,
                        (s, http, run) ->
                                AppServer.answer(
                                        http,
                                        run,
                                        new byte[run.path().endsWith("large") ? ANSWER_BYTES : 9]));
        lab.mStore.put(
                "op",
                "config",
                Lab.config(
                        5,
                        List.of(Lab.route("/read/", "safe", TIMEOUT_MILLIS, 1)),
                        Lab.limits(16_384, 4_194_304, IDLE_MILLIS)));
        lab.mStore.put("servers", server.id(), server.entry("desk", "ready", 1));
        Lab.RouterProcess router = lab.router(1, lab.mStore.address());
        router.start();
        router.awaitReady();
        Lab.sleep(4_000);
        int cut = 0;
        for (int i = 0; i < REQUESTS; i++) {
            if (!isReadWhole(lab, router, server, "slow-" + i)) {
                cut++;
            }
        }
        Record.line(
                "%d of %d kept connections closed without the whole answer; allowed %d",
                cut, REQUESTS, ALLOWED);
        return cut > ALLOWED;
    }

    private static boolean isReadWhole(
            Lab lab, Lab.RouterProcess router, AppServer server, String id) throws IOException {
        try (Http c = router.connect()) {
            c.mSocket.setReceiveBufferSize(RECEIVE_BUFFER);
            c.write(Lab.head("GET", "/read/small", id + "-a", TIMEOUT_MILLIS, 0, ""), new byte[0]);
            Record.line("client got for %s-a: %s", id, c.answer());
            c.write(Lab.head("GET", "/read/large", id + "-b", TIMEOUT_MILLIS, 0, ""), new byte[0]);
            Record.line("client sends %s-b", id);
            Http.Head head = c.head().orElseThrow(() -> new IOException("no answer"));
            long started = Record.millis();
            byte[] part = new byte[1 << 14];
            long got = 0;
            while (got < head.length()) {
                int n;
                try {
                    n = c.mIn.read(part, 0, (int) Math.min(part.length, head.length() - got));
                } catch (IOException e) {
                    break;
                }
                if (n < 0) {
                    break;
                }
                got += n;
                long due = started + (lab.mTrouble ? got * READ_MILLIS / head.length() : 0);
                long early = due - Record.millis();
                if (early > 0) {
                    Lab.sleep(early);
                }
            }
            Record.line(
                    "client got for %s-b: status %d, %d of %d B in %.1f s, without a pause of over"
                            + " a second; the server had written it whole: %s",
                    id,
                    head.status(),
                    got,
                    head.length(),
                    (Record.millis() - started) / 1000.0,
                    server.hasAnswered(id + "-b"));
            return got == head.length() && head.status() == 200;
        }
    }
}
