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

/** Measures how many token frames a router passes for a second of its own processor time. */
final class Frames {
    private static final EngineStandin.Speed SPEED = new EngineStandin.Speed(256, 1e6, 1, 1 << 22);
    private static final int STREAMS = 40;
    private static final int TOKENS = 4_000;
    private static final int ROUNDS = 4;

    private Frames() {}

    static void run() throws Exception {
        try (LocalFleet fleet = LocalFleet.startSingle(SPEED)) {
            Daemon router = fleet.router("entry-1");
            for (int i = 0; i < ROUNDS; i++) {
                round(router, i);
            }
        }
    }

    private static void round(Daemon router, int n) throws Exception {
        Caller caller = new Caller();
        long cpu = cpuNanos();
        long start = System.nanoTime();
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Callable<Caller.Answer>> calls = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            List<Caller.Message> m = List.of(new Caller.Message("user", n + " stream " + i));
            String body = Caller.body("lm", m, TOKENS, true);
            calls.add(() -> caller.chat(router.callersAddress(), body, Map.of()));
        }
        int whole = 0;
        for (Future<Caller.Answer> f : threads.invokeAll(calls)) {
            whole += f.get().whole() ? 1 : 0;
        }
        threads.shutdown();
        double frames = (double) STREAMS * TOKENS;
        double seconds = (System.nanoTime() - start) / 1e9;
        double used = (cpuNanos() - cpu) / 1e9;
        System.out.printf(
                "round %d: %d of %d whole, %.0f frames/s, router loop %.2f s of processor time,"
                        + " %.0f frames per core second%n",
                n, whole, STREAMS, frames / seconds, used, frames / used);
    }

    /** Returns the processor time of the router's event loop. */
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
