package org.forkseam.bench;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.forkseam.daemon.Daemon;
import org.forkseam.standin.EngineStandin;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Compares the path with direct calls to the stand-in, request by request in the same run. */
final class Overhead {
    private static final int WARM_UP_SECONDS = 5;
    private static final EngineStandin.Speed SPEED = new EngineStandin.Speed(256, 1e6, 1, 1 << 22);
    private static final int TOKENS = 8;

    private Overhead() {}

    static void run(double rate, int seconds) throws Exception {
        try (LocalFleet fleet = LocalFleet.startSingle(SPEED)) {
            Daemon router = fleet.router("entry-1");
            EngineStandin e = fleet.engines().get("lm-1");
            URI direct = URI.create(e.url());
            InetSocketAddress engine = new InetSocketAddress(direct.getHost(), direct.getPort());
            measure(router.callersAddress(), engine, rate, WARM_UP_SECONDS, false);
            measure(router.callersAddress(), engine, rate, seconds, true);
        }
    }

    private static void measure(
            InetSocketAddress router,
            InetSocketAddress engine,
            double rate,
            int seconds,
            boolean print)
            throws InterruptedException {
        Histogram through = new ConcurrentHistogram(60_000_000, 3);
        Histogram direct = new ConcurrentHistogram(60_000_000, 3);
        Caller caller = new Caller();
        ExecutorService threads = Executors.newFixedThreadPool(64);
        long start = System.nanoTime();
        int n = (int) (rate * seconds);
        for (int i = 0; i < n; i++) {
            long at = start + (long) (i * 1e9 / rate);
            while (System.nanoTime() < at) {
                Thread.sleep(0, 100_000);
            }
            boolean viaRouter = i % 2 == 0;
            String body = body(i);
            threads.execute(
                    () ->
                            send(
                                    caller,
                                    viaRouter ? router : engine,
                                    body,
                                    viaRouter ? through : direct));
        }
        threads.shutdown();
        threads.awaitTermination(30, TimeUnit.SECONDS);
        if (print) {
            print("direct ", direct);
            print("through", through);
            System.out.printf(
                    "added: p50 %d us, p99 %d us%n",
                    through.getValueAtPercentile(50) - direct.getValueAtPercentile(50),
                    through.getValueAtPercentile(99) - direct.getValueAtPercentile(99));
        }
    }

    private static String body(int i) {
        return Caller.body(
                "lm", List.of(new Caller.Message("user", "question " + i)), TOKENS, true);
    }

    private static void send(Caller caller, InetSocketAddress to, String body, Histogram h) {
        try {
            h.recordValue(Math.max(1, caller.timed(to, body, Map.of()).firstMicros()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void print(String name, Histogram h) {
        System.out.printf(
                "%s n=%d first token p50 %d us, p95 %d us, p99 %d us%n",
                name,
                h.getTotalCount(),
                h.getValueAtPercentile(50),
                h.getValueAtPercentile(95),
                h.getValueAtPercentile(99));
    }
}
