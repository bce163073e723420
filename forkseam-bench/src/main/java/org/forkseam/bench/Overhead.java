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

/** Measures the latency a router adds, alternating routed and direct requests in one run. */
final class Overhead {
    private static final int WARM_UP_SECONDS = 5;
    private static final EngineStandin.Speed SPEED = new EngineStandin.Speed(256, 1e6, 1, 1 << 22);
    private static final int TOKENS = 8;

    private Overhead() {}

    static void run(double rate, int seconds) throws Exception {
        try (LocalFleet fleet = LocalFleet.startSingleEngine(SPEED)) {
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
        Histogram routed = new ConcurrentHistogram(60_000_000, 3);
        Histogram direct = new ConcurrentHistogram(60_000_000, 3);
        RouterClient client = new RouterClient();
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
                                    client,
                                    viaRouter ? router : engine,
                                    body,
                                    viaRouter ? routed : direct));
        }
        threads.shutdown();
        threads.awaitTermination(30, TimeUnit.SECONDS);
        if (print) {
            print("direct ", direct);
            print("through", routed);
            System.out.printf(
                    "added: p50 %d us, p99 %d us%n",
                    routed.getValueAtPercentile(50) - direct.getValueAtPercentile(50),
                    routed.getValueAtPercentile(99) - direct.getValueAtPercentile(99));
        }
    }

    private static String body(int i) {
        return RouterClient.chatBody(
                "lm", List.of(new RouterClient.Message("user", "question " + i)), TOKENS, true);
    }

    private static void send(RouterClient client, InetSocketAddress to, String body, Histogram h) {
        try {
            h.recordValue(Math.max(1, client.chatTimed(to, body, Map.of()).firstLineMicros()));
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
