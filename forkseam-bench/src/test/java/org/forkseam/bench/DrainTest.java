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

/** Leaving targets get no new work, and planned stops cut nothing. */
class DrainTest extends FleetTestBase {
    @Override
    EngineStandin.Speed speed() {
        return new EngineStandin.Speed(16, 1000, 10, 1 << 20);
    }

    /** Sends chats without pause until told to stop, and counts what came of them. */
    private final class Load {
        final AtomicBoolean mStop = new AtomicBoolean();
        final AtomicInteger mSent = new AtomicInteger();
        final List<String> mBad = new ArrayList<>();
        final List<CompletableFuture<Caller.Answer>> mRunning = new ArrayList<>();

        Load(Daemon... routers) {
            for (int i = 0; i < 12; i++) {
                int n = i;
                mRunning.add(later(() -> run(n, routers)));
            }
        }

        private Caller.Answer run(int n, Daemon... routers) throws InterruptedException {
            Caller.Answer a = null;
            for (int i = 0; !mStop.get(); i++) {
                String who = "w" + n + "-" + i;
                a = chat(routers[(n + i) % routers.length], who, i % 2 == 0, Map.of());
                mSent.incrementAndGet();
                if (a.status() != 200 || !a.whole() || !a.text().equals(expected(who, TOKENS))) {
                    synchronized (mBad) {
                        mBad.add(who + ": " + a);
                    }
                }
            }
            return a;
        }

        void finish() throws Exception {
            mStop.set(true);
            for (CompletableFuture<Caller.Answer> f : mRunning) {
                f.get();
            }
            assertThat(mBad).isEmpty();
            assertThat(mSent.get()).isGreaterThan(12);
        }
    }

    @Test
    void plannedStopOfASidecarUnderLoadCutsNothing() throws Exception {
        Load load = new Load(mRouter1, mRouter2);
        Waiting.until("load runs", () -> load.mSent.get() > 20);
        mFleet.stopSidecar("lm-02");
        int after = load.mSent.get();
        Waiting.until("load goes on", () -> load.mSent.get() > after + 20);
        load.finish();
        assertThat(mFleet.engines().get("lm-02").load()).isEqualTo(0);
    }

    @Test
    void plannedStopOfARouterUnderLoadCutsNothing() throws Exception {
        Load other = new Load(mRouter2);
        List<CompletableFuture<Caller.Answer>> inFlight = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            inFlight.add(chatLater(mRouter1, "g" + i, i % 2 == 0, Map.of()));
        }
        busyTarget();
        Waiting.until("all have been taken in", () -> requests(mRouter1) >= 10);
        mFleet.stopRouter("entry-1");
        for (int i = 0; i < 10; i++) {
            assertWhole(inFlight.get(i).get(), "g" + i);
        }
        other.finish();
    }

    private static double requests(Daemon router) {
        return router.registry().get("forkseam.router.requests").counter().count();
    }

    @Test
    void drainedTargetTakesNoNewWorkAndFinishesWhatRuns() throws Exception {
        CompletableFuture<Caller.Answer> running = chatLater(mRouter1, "a", true, Map.of());
        String target = busyTarget();
        assertThat(mOperator.run("drain", target).code()).isEqualTo(0);
        waitForConfig(2);
        int before = runsAt(target);
        for (int i = 0; i < 20; i++) {
            Caller.Answer a = chat(i % 2 == 0 ? mRouter1 : mRouter2, "n" + i, false, Map.of());
            assertThat(a.header("target")).isNotEqualTo(target);
        }
        assertWhole(running.get(), "a");
        assertThat(runsAt(target)).isEqualTo(before);
        assertThat(mOperator.run("undrain", target).code()).isEqualTo(0);
    }

    private int runsAt(String target) {
        return mFleet.engines().get(target).allRuns().size();
    }

    @Test
    void sidecarOfALeavingHostRefusesThoughRoutersDoNotKnowYet() throws Exception {
        String target = chat(mRouter1, "a", false, Map.of("Chat-Id", "c")).header("target");
        mFleet.setLeaving(target, "hall-a", true);
        Waiting.until(
                "the chat goes elsewhere",
                () ->
                        !chat(mRouter1, "a", false, Map.of("Chat-Id", "c"))
                                .header("target")
                                .equals(target));
        mFleet.setLeaving(target, "hall-a", false);
        Waiting.until(
                "it comes back",
                () ->
                        chat(mRouter1, "a", false, Map.of("Chat-Id", "c"))
                                .header("target")
                                .equals(target));
    }
}
