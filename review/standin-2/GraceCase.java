package review2;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** The grace period is lengthened in the settings file, with a SIGHUP; later SIGTERM comes. */
final class GraceCase {
    private static final int OLD_GRACE_SECONDS = 8;
    private static final int GRACE_SECONDS = 16;
    private static final long WORK_MILLIS = 10_000;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final int REQUESTS = 8;
    private static final String GRACE = "bounds.grace-period-s";

    private GraceCase() {}

    public static void main(String[] args) throws IOException {
        Lab.run(args, GraceCase::isBroken);
    }

    private static boolean isBroken(Lab lab) throws Exception {
        AppServer server =
                lab.server(
                        1,
                        (s, http, run) -> {
                            if (run.path().startsWith("/watch/")) {
                                AppServer.stream(http, run, 40, WORK_MILLIS / 40);
                                return;
                            }
                            Thread.sleep(WORK_MILLIS);
                            AppServer.answer(http, run, AppServer.text("done " + run.id()));
                        });
        lab.mStore.put(
                "op",
                "config",
                Lab.config(
                        5,
                        List.of(
                                Lab.route("/book/", "unsafe", TIMEOUT_MILLIS, 1),
                                Lab.route("/watch/", "streaming", TIMEOUT_MILLIS, 1)),
                        Lab.limits(16_384, 4_194_304, 15_000)));
        lab.mStore.put("servers", server.id(), server.entry("desk", "ready", 1));
        Lab.RouterProcess router = lab.router(1, lab.mStore.address());
        router.set(GRACE, Integer.toString(lab.mTrouble ? OLD_GRACE_SECONDS : GRACE_SECONDS));
        router.start();
        router.awaitReady();
        Lab.sleep(2_000);
        if (lab.mTrouble) {
            router.set(GRACE, Integer.toString(GRACE_SECONDS));
            router.signal("HUP");
        }
        Lab.sleep(4_000); // longer than contact-timeout-ms
        router.log("reload").forEach(l -> Record.line("router's log: %s", l));

        AtomicInteger lost = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(REQUESTS);
        for (int i = 0; i < REQUESTS; i++) {
            String id = "grace-" + i;
            String path = i % 2 == 0 ? "/book/x" : "/watch/x";
            Lab.thread(
                    () -> {
                        if (!isAnswered(router, path, id)) {
                            lost.incrementAndGet();
                        }
                        done.countDown();
                    });
        }
        Lab.sleep(1_000);
        if (server.runs() != REQUESTS) {
            throw new IOException("only " + server.runs() + " requests run");
        }
        long term = Record.millis();
        router.signal("TERM");
        done.await();
        boolean ended = router.awaitEnd(GRACE_SECONDS * 1_000L);
        Record.line(
                "%d of %d requests ended without a complete answer; %.1f s after SIGTERM, grace"
                        + " period %d s, router ended: %s",
                lost.get(),
                REQUESTS,
                (Record.millis() - term) / 1000.0,
                GRACE_SECONDS,
                ended);
        return lost.get() > 0;
    }

    private static boolean isAnswered(Lab.RouterProcess router, String path, String id) {
        try (Http c = router.connect()) {
            Record.line("client sends %s %s", id, path);
            c.write(Lab.head("POST", path, id, TIMEOUT_MILLIS, 0, ""), new byte[0]);
            Http.Answer a = c.answer();
            Record.line("client got for %s: %s", id, a);
            return a.whole();
        } catch (IOException e) {
            Record.line("client got for %s: %s", id, e);
            return false;
        }
    }
}
