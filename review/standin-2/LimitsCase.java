package review2;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A router is killed and starts again while the platform's store is slow. Its clients connect as
 * soon as its port is open, keep their connections, and later send requests within the limits of
 * the configuration.
 */
final class LimitsCase {
    private static final long MAX_HEADER_BYTES = 32_768;
    private static final int NOTE_BYTES = 20_000;
    private static final int CLIENTS = 16;
    private static final int SLOW_TIMES = 60;
    private static final long SLOW_MILLIS = 4_500;

    /** Longer than contact-timeout-ms after the end of the disruption. */
    private static final long CALM_MILLIS = 4_500;

    private static final long DEADLINE_MILLIS = 8_000;

    private LimitsCase() {}

    public static void main(String[] args) throws IOException {
        Lab.run(args, LimitsCase::isBroken);
    }

    private static boolean isBroken(Lab lab) throws Exception {
        AppServer server =
                lab.server(
                        1,
                        (s, http, run) ->
                                AppServer.answer(http, run, AppServer.text("for " + run.id())));
        lab.mStore.put(
                "op",
                "config",
                Lab.config(
                        5,
                        List.of(Lab.route("/read/", "safe", DEADLINE_MILLIS, 1)),
                        Lab.limits(MAX_HEADER_BYTES, 4_194_304, 15_000)));
        lab.mStore.put("servers", server.id(), server.entry("desk", "ready", 1));
        Lab.RouterProcess router = lab.router(1, lab.mStore.address());
        router.start();
        router.awaitReady();
        Lab.sleep(4_000);
        if (!isServed(router)) {
            throw new IOException("the running router does not serve the request");
        }
        if (lab.mTrouble) {
            lab.mStore.setSlow(SLOW_TIMES);
            Record.line("store: answers take %d times as long", SLOW_TIMES);
            Lab.thread(
                    () -> {
                        Lab.sleep(SLOW_MILLIS);
                        lab.mStore.setSlow(1);
                        Record.line("store: answers as usual again");
                    });
            router.signal("KILL");
            router.awaitEnd(5_000);
            router.start();
        }
        AtomicInteger all = new AtomicInteger();
        AtomicInteger denied = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            String name = "limits-" + i;
            Lab.thread(
                    () -> {
                        use(router, name, all, denied);
                        done.countDown();
                    });
        }
        done.await();
        router.log("callers_listen").forEach(l -> Record.line("router's log: %s", l));
        router.log("config_in_force").forEach(l -> Record.line("router's log: %s", l));
        double allowed = 5 + all.get() / 500.0;
        Record.line(
                "%d of %d requests denied with a 4xx of the router's own; allowed %.2f",
                denied.get(), all.get(), allowed);
        return denied.get() > allowed;
    }

    /** Keeps one connection: a small request at once, a large one after the disruption. */
    private static void use(
            Lab.RouterProcess router, String name, AtomicInteger all, AtomicInteger denied) {
        try (Http c = connect(router)) {
            Record.line("%s is connected", name);
            Http.Answer first = send(c, name + "-small", 10);
            Record.line("%s small request: %s", name, first);
            Lab.sleep(SLOW_MILLIS + CALM_MILLIS);
            all.incrementAndGet();
            Http.Answer second = send(c, name + "-large", NOTE_BYTES);
            Record.line("%s request with a head of %d B: %s", name, NOTE_BYTES, second);
            if (second.status() >= 300
                    && second.status() < 500
                    && second.status() != 408
                    && second.status() != 421
                    && second.status() != 429
                    && second.signature().isEmpty()) {
                denied.incrementAndGet();
            }
        } catch (IOException e) {
            Record.line("%s: %s", name, e);
        }
    }

    private static Http connect(Lab.RouterProcess router) throws IOException {
        for (int i = 0; i < 200; i++) {
            try {
                return router.connect();
            } catch (IOException e) {
                Lab.sleep(50);
            }
        }
        throw new IOException("the port does not open");
    }

    private static Http.Answer send(Http c, String id, int noteBytes) throws IOException {
        StringBuilder notes = new StringBuilder();
        for (int left = noteBytes, n = 0; left > 0; left -= 4_000, n++) {
            notes.append("X-Note-").append(n).append(": ");
            notes.append("n".repeat(Math.min(left, 4_000))).append("\r\n");
        }
        c.write(
                Lab.head("GET", "/read/x", id, DEADLINE_MILLIS, 0, notes.toString()), new byte[0]);
        return c.answer();
    }

    private static boolean isServed(Lab.RouterProcess router) throws IOException {
        try (Http c = router.connect()) {
            Http.Answer a = send(c, "limits-before", NOTE_BYTES);
            Record.line("before: request with a head of %d B: %s", NOTE_BYTES, a);
            return a.status() == 200 && a.whole();
        }
    }
}
