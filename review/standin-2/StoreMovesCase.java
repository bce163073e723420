package review2;

import java.io.IOException;
import java.util.List;

/** The platform moves its store to another address and tells it in the settings file. */
final class StoreMovesCase {
    private static final long APPLY_MILLIS = 2_000;
    private static final long CALM_MILLIS = 4_000;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final int REQUESTS = 10;

    private StoreMovesCase() {}

    public static void main(String[] args) throws IOException {
        Lab.run(args, StoreMovesCase::isBroken);
    }

    private static boolean isBroken(Lab lab) throws Exception {
        AppServer server =
                lab.server(
                        1,
                        (s, http, run) ->
                                AppServer.answer(http, run, AppServer.text("for " + run.id())));
        Store store = lab.mStore;
        store.put("op", "config", config(5, "/old/"));
        store.put("servers", server.id(), server.entry("desk", "ready", 1));
        Lab.RouterProcess router = lab.router(1, store.address());
        router.start();
        router.awaitReady();
        Lab.sleep(2_000);
        if (lab.mTrouble) {
            String moved = store.listenAlso(lab.mNet + ".2");
            router.set("platform.address", moved);
            router.signal("HUP");
            Lab.sleep(10_000); // both addresses serve meanwhile
            store.leaveFirstAddress();
        }
        Lab.sleep(CALM_MILLIS);
        store.put("op", "config", config(6, "/new/"));
        Lab.sleep(APPLY_MILLIS + 500);
        int older = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Http.Answer dropped = send(router, "/old/x", "moved-old-" + i);
            Http.Answer added = send(router, "/new/x", "moved-new-" + i);
            if (dropped.status() == 200 || added.status() == 404) {
                older++;
            }
            Lab.sleep(500);
        }
        Record.line(
                "%d of %d pairs handled as only version 5 allows, 2.5 s and more after version 6",
                older, REQUESTS);
        return older > 0;
    }

    private static java.util.Map<String, Object> config(long version, String prefix) {
        return Lab.config(
                version,
                List.of(
                        Lab.route("/read/", "safe", DEADLINE_MILLIS, 1),
                        Lab.route(prefix, "safe", DEADLINE_MILLIS, 1)),
                Lab.limits(16_384, 4_194_304, 15_000));
    }

    private static Http.Answer send(Lab.RouterProcess router, String path, String id)
            throws IOException {
        try (Http c = router.connect()) {
            c.write(Lab.head("GET", path, id, DEADLINE_MILLIS, 0, ""), new byte[0]);
            Http.Answer a = c.answer();
            Record.line("client got for %s %s: %s", id, path, a);
            return a;
        }
    }
}
