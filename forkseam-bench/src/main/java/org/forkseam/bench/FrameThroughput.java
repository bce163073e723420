package org.forkseam.bench;

import org.forkseam.daemon.Daemon;
import org.forkseam.standin.EngineStandin;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Measures the token frames that a router forwards per second of its CPU time. */
final class FrameThroughput {
    private static final EngineStandin.Speed SPEED = new EngineStandin.Speed(256, 1e6, 1, 1 << 22);
    private static final int STREAMS = 40;
    private static final int TOKENS = 4_000;
    private static final int ROUNDS = 4;

    private FrameThroughput() {}

    static void run() throws Exception {
        try (LocalFleet fleet = LocalFleet.startSingleEngine(SPEED)) {
            Daemon router = fleet.router("entry-1");
            for (int i = 0; i < ROUNDS; i++) {
                runRound(router, i);
            }
        }
    }

    private static void runRound(Daemon router, int n) throws Exception {
        RouterClient client = new RouterClient();
        long cpu = cpuNanos();
        long start = System.nanoTime();
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Callable<RouterClient.Response>> calls = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            List<RouterClient.Message> m =
                    List.of(new RouterClient.Message("user", n + " stream " + i));
            String body = RouterClient.chatBody("lm", m, TOKENS, true);
            calls.add(() -> client.chat(router.callersAddress(), body, Map.of()));
        }
        int complete = 0;
        for (Future<RouterClient.Response> f : threads.invokeAll(calls)) {
            complete += f.get().complete() ? 1 : 0;
        }
        threads.shutdown();
        double frames = (double) STREAMS * TOKENS;
        double seconds = (System.nanoTime() - start) / 1e9;
        double used = (cpuNanos() - cpu) / 1e9;
        System.out.printf(
                "round %d: %d of %d whole, %.0f frames/s, router loop %.2f s of processor time,"
                        + " %.0f frames per core second%n",
                n, complete, STREAMS, frames / seconds, used, frames / used);
    }

    /** Returns the CPU time of the router's event loop. */
    private static long cpuNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (ThreadInfo t : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (t != null && t.getThreadName().equals("loop-entry-1")) {
                sum += threads.getThreadCpuTime(t.getThreadId());
            }
        }
        return sum;
    }
}
