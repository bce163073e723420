package org.forkseam.bench;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.daemon.Daemon;
import org.forkseam.standin.EngineStandin;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Guards against new requests on draining targets and interrupted ones on graceful stops. */
class DrainTest extends FleetTestBase {
    @Override
    EngineStandin.Speed speed() {
        return new EngineStandin.Speed(16, 1000, 10, 1 << 20);
    }

    /** Sends chats continuously until stopped and records the failures. */
    private final class BackgroundLoad {
        final AtomicBoolean mStop = new AtomicBoolean();
        final AtomicInteger mSent = new AtomicInteger();
        final List<String> mFailures = new ArrayList<>();
        final List<CompletableFuture<RouterClient.Response>> mRunning = new ArrayList<>();

        BackgroundLoad(Daemon... routers) {
            for (int i = 0; i < 12; i++) {
                int n = i;
                mRunning.add(callAsync(() -> run(n, routers)));
            }
        }

        private RouterClient.Response run(int n, Daemon... routers) throws InterruptedException {
            RouterClient.Response a = null;
            for (int i = 0; !mStop.get(); i++) {
                String who = "w" + n + "-" + i;
                a = chat(routers[(n + i) % routers.length], who, i % 2 == 0, Map.of());
                mSent.incrementAndGet();
                if (a.status() != 200 || !a.complete() || !a.text().equals(expected(who, TOKENS))) {
                    synchronized (mFailures) {
                        mFailures.add(who + ": " + a);
                    }
                }
            }
            return a;
        }

        void finish() throws Exception {
            mStop.set(true);
            for (CompletableFuture<RouterClient.Response> f : mRunning) {
                f.get();
            }
            assertThat(mFailures).isEmpty();
            assertThat(mSent.get()).isGreaterThan(12);
        }
    }

    @Test
    void gracefulSidecarStopUnderLoadInterruptsNoRequest() throws Exception {
        BackgroundLoad load = new BackgroundLoad(mRouter1, mRouter2);
        Await.until("load runs", () -> load.mSent.get() > 20);
        mFleet.stopSidecar("lm-02");
        int after = load.mSent.get();
        Await.until("load continues after the stop", () -> load.mSent.get() > after + 20);
        load.finish();
        assertThat(mFleet.engines().get("lm-02").load()).isEqualTo(0);
    }

    @Test
    void gracefulRouterStopUnderLoadInterruptsNoRequest() throws Exception {
        BackgroundLoad other = new BackgroundLoad(mRouter2);
        List<CompletableFuture<RouterClient.Response>> inFlight = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            inFlight.add(chatAsync(mRouter1, "g" + i, i % 2 == 0, Map.of()));
        }
        awaitBusyTarget();
        Await.until("all requests have been accepted", () -> requests(mRouter1) >= 10);
        mFleet.stopRouter("entry-1");
        for (int i = 0; i < 10; i++) {
            assertComplete(inFlight.get(i).get(), "g" + i);
        }
        other.finish();
    }

    private static double requests(Daemon router) {
        return router.registry().get("forkseam.router.requests").counter().count();
    }

    @Test
    void drainedTargetTakesNoNewRequestsAndFinishesRunningOnes() throws Exception {
        CompletableFuture<RouterClient.Response> running = chatAsync(mRouter1, "a", true, Map.of());
        String target = awaitBusyTarget();
        assertThat(mCli.run("drain", target).code()).isEqualTo(0);
        waitForConfig(2);
        int before = runsAt(target);
        for (int i = 0; i < 20; i++) {
            RouterClient.Response a =
                    chat(i % 2 == 0 ? mRouter1 : mRouter2, "n" + i, false, Map.of());
            assertThat(a.header("target")).isNotEqualTo(target);
        }
        assertComplete(running.get(), "a");
        assertThat(runsAt(target)).isEqualTo(before);
        assertThat(mCli.run("undrain", target).code()).isEqualTo(0);
    }

    private int runsAt(String target) {
        return mFleet.engines().get(target).allRuns().size();
    }

    @Test
    void sidecarOfALeavingHostRefusesBeforeRoutersAreInformed() throws Exception {
        String target = chat(mRouter1, "a", false, Map.of("Chat-Id", "c")).header("target");
        mFleet.setLeaving(target, "hall-a", true);
        Await.until(
                "the chat moves to another target",
                () ->
                        !chat(mRouter1, "a", false, Map.of("Chat-Id", "c"))
                                .header("target")
                                .equals(target));
        mFleet.setLeaving(target, "hall-a", false);
        Await.until(
                "the chat returns to its target",
                () ->
                        chat(mRouter1, "a", false, Map.of("Chat-Id", "c"))
                                .header("target")
                                .equals(target));
    }
}
