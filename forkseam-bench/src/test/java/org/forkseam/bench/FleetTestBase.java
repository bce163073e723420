package org.forkseam.bench;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.forkseam.daemon.Daemon;
import org.forkseam.standin.EngineStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Starts a configured fleet for each test: two routers, three engines in three failure domains and
 * a service with two targets. Subclasses may override the engines' speed.
 */
abstract class FleetTestBase {
    static final String MODEL = "forecast-lm";
    static final int TOKENS = 40;
    static final String CONFIG =
            """
            [pool lm]
            selector = model=forecast-lm
            prefer = reuse
            max-load-multiple = 4
            [pool gauge]
            selector = service=gauge-api
            max-load-multiple = 4
            [intent chats]
            selector = kind=chat
            pool = lm
            [intent calls]
            selector = kind=service,service=gauge-api
            pool = gauge
            """;

    final RouterClient mClient = new RouterClient();
    final ExecutorService mThreads = Executors.newCachedThreadPool();
    LocalFleet mFleet;
    Daemon mRouter1;
    Daemon mRouter2;
    CliRunner mCli;

    EngineStandin.Speed speed() {
        return new EngineStandin.Speed(8, 1000, 5, 1 << 20);
    }

    @BeforeEach
    void startFleet() throws Exception {
        mFleet = LocalFleet.start(7);
        mRouter1 = mFleet.addRouter("entry-1", "hall-a", "std");
        mRouter2 = mFleet.addRouter("entry-2", "hall-b", "std");
        mFleet.addEngine("lm-01", "hall-a", MODEL, speed());
        mFleet.addEngine("lm-02", "hall-b", MODEL, speed());
        mFleet.addEngine("lm-03", "hall-c", MODEL, speed());
        mFleet.addService("gauge-01", "hall-a", "gauge-api", 8);
        mFleet.addService("gauge-02", "hall-b", "gauge-api", 8);
        mCli = CliRunner.of(mRouter1);
        Await.until(
                "all targets are listed",
                () -> mCli.run("get", "targets").out().lines().count() == 6);
        CliRunner.Result r = mCli.apply(CONFIG);
        assertWithMessage(r.out() + r.err()).that(r.code()).isEqualTo(0);
        waitForConfig(1);
        Await.until("both routers are ready", () -> ready(mRouter1) && ready(mRouter2));
    }

    private boolean ready(Daemon router) throws InterruptedException {
        return mClient.send(router.callersAddress(), "GET", "/readyz", "", Map.of()).status()
                == 200;
    }

    @AfterEach
    void stopFleet() throws Exception {
        mThreads.shutdownNow();
        mFleet.close();
    }

    /** Waits until every daemon has applied this configuration version or a later one. */
    void waitForConfig(long version) throws Exception {
        mFleet.waitForConfig(version);
    }

    static String prompt(String who) {
        return "Flood stage at gauge " + who + "? " + "Readings of the station. ".repeat(8);
    }

    static String body(String who, int tokens, boolean stream) {
        return RouterClient.chatBody(
                MODEL, List.of(new RouterClient.Message("user", prompt(who))), tokens, stream);
    }

    static String expected(String who, int tokens) {
        return EngineStandin.expectedAnswer(prompt(who), tokens);
    }

    RouterClient.Response chat(
            Daemon router, String who, boolean stream, Map<String, String> headers)
            throws InterruptedException {
        return mClient.chat(router.callersAddress(), body(who, TOKENS, stream), headers);
    }

    CompletableFuture<RouterClient.Response> callAsync(Callable<RouterClient.Response> call) {
        CompletableFuture<RouterClient.Response> f = new CompletableFuture<>();
        mThreads.execute(
                () -> {
                    try {
                        f.complete(call.call());
                    } catch (Exception e) {
                        f.completeExceptionally(e);
                    }
                });
        return f;
    }

    CompletableFuture<RouterClient.Response> chatAsync(
            Daemon router, String who, boolean stream, Map<String, String> headers) {
        return callAsync(() -> chat(router, who, stream, headers));
    }

    void assertComplete(RouterClient.Response a, String who) {
        assertWithMessage(a.text()).that(a.status()).isEqualTo(200);
        assertThat(a.text()).isEqualTo(expected(who, TOKENS));
        assertThat(a.complete()).isTrue();
    }

    /** Waits until an engine is running a request and returns its target. */
    String awaitBusyTarget() throws Exception {
        String[] found = {null};
        Await.until(
                "an engine is busy",
                () -> {
                    mFleet.engines().forEach((n, e) -> found[0] = e.load() > 0 ? n : found[0]);
                    return found[0] != null;
                });
        return found[0];
    }

    int runs(String requestId) {
        int n = mFleet.engines().values().stream().mapToInt(e -> e.runs(requestId)).sum();
        return n + mFleet.services().values().stream().mapToInt(s -> s.runs(requestId)).sum();
    }

    RouterClient.Response call(Daemon router, String path, String body, Map<String, String> headers)
            throws InterruptedException {
        return mClient.send(router.callersAddress(), "POST", path, body, headers);
    }

    static Map<String, String> unrepeatable(String id) {
        Map<String, String> m = new TreeMap<>();
        m.put("Request-Id", id);
        m.put("Unrepeatable", "true");
        return m;
    }
}
