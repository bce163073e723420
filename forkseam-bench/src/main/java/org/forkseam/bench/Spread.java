package org.forkseam.bench;

import org.HdrHistogram.Histogram;
import org.forkseam.daemon.Daemon;
import org.forkseam.standin.ServiceStandin;

import java.util.List;
import java.util.concurrent.ExecutionException;

/**
 * Measures how fast a change of configuration is in force on so many daemons, and what it costs.
 */
final class Spread {
    private static final int CHANGES = 20;
    private static final long QUIET_MILLIS = 5_000;

    private Spread() {}

    static void run(int daemons) throws Exception {
        try (LocalFleet fleet = LocalFleet.start(1)) {
            Daemon router = fleet.addRouter("entry-1", "a", "std");
            ServiceStandin service = ServiceStandin.start("svc");
            fleet.addSidecars(daemons - 1, service.url());
            Operator o = Operator.of(router);
            Waiting.until(
                    "all are listed",
                    () -> o.run("get", "targets").out().lines().count() == daemons);
            o.apply("[pool p]\n[intent i]\npool = p\n");
            fleet.waitForConfig(1);
            cost(fleet, daemons);
            changes(fleet, o, false);
            changes(fleet, o, true);
            service.stop();
        }
    }

    private static double version(Daemon d) {
        return d.registry().get("forkseam.config.version").gauge().value();
    }

    /** Shows what an idle fleet spends on control. */
    private static void cost(LocalFleet fleet, int daemons) throws InterruptedException {
        long reads = fleet.platform().tableReads();
        double bytes = control(fleet);
        Thread.sleep(QUIET_MILLIS);
        double seconds = QUIET_MILLIS / 1000.0;
        System.out.printf(
                "idle: daemons %d, control %.0f B/s each, table reads %.1f/s in all%n",
                daemons,
                (control(fleet) - bytes) / daemons / seconds,
                (fleet.platform().tableReads() - reads) / seconds);
    }

    private static double control(LocalFleet fleet) {
        double sum = 0;
        for (Daemon d : fleet.daemons()) {
            sum += d.registry().get("forkseam.control.bytes").functionCounter().count();
        }
        return sum;
    }

    /** Makes changes one by one and notes when each daemon had them in force. */
    private static void changes(LocalFleet fleet, Operator o, boolean storeDownAfter)
            throws Exception {
        Histogram h = new Histogram(60_000, 3);
        List<Daemon> all = fleet.daemons();
        double bytes = control(fleet);
        long reads = fleet.platform().tableReads();
        for (int i = 0; i < CHANGES; i++) {
            fleet.platform().table().setDown(false);
            long before = (long) version(all.get(0));
            if (o.run("label", "team", "t", "n=" + i).code() != 0) {
                throw new ExecutionException("not accepted", null);
            }
            long accepted = System.nanoTime();
            fleet.platform().table().setDown(storeDownAfter);
            watch(all, before + 1, accepted, h);
        }
        fleet.platform().table().setDown(false);
        System.out.printf(
                "store %s: in force after p50 %d ms, p99 %d ms, max %d ms; %.0f control B each a"
                        + " change; %.1f reads a change%n",
                storeDownAfter ? "down after" : "up",
                h.getValueAtPercentile(50),
                h.getValueAtPercentile(99),
                h.getMaxValue(),
                (control(fleet) - bytes) / all.size() / CHANGES,
                (double) (fleet.platform().tableReads() - reads) / CHANGES);
    }

    private static void watch(List<Daemon> all, long version, long accepted, Histogram h)
            throws InterruptedException {
        boolean[] seen = new boolean[all.size()];
        int left = all.size();
        while (left > 0) {
            long millis = (System.nanoTime() - accepted) / 1_000_000;
            for (int i = 0; i < seen.length; i++) {
                if (!seen[i] && version(all.get(i)) >= version) {
                    seen[i] = true;
                    left--;
                    h.recordValue(millis);
                }
            }
            Thread.sleep(2);
        }
    }
}
