package org.forkseam.bench;

import org.HdrHistogram.Histogram;
import org.forkseam.daemon.Daemon;
import org.forkseam.standin.ServiceStandin;

import java.util.List;
import java.util.concurrent.ExecutionException;

/**
 * Measures the latency and the control traffic of propagating configuration changes to all daemons.
 */
final class ConfigPropagation {
    private static final int CHANGES = 20;
    private static final long IDLE_MILLIS = 5_000;

    private ConfigPropagation() {}

    static void run(int daemons) throws Exception {
        try (LocalFleet fleet = LocalFleet.start(1)) {
            Daemon router = fleet.addRouter("entry-1", "a", "std");
            ServiceStandin service = ServiceStandin.start("svc");
            fleet.addSidecars(daemons - 1, service.url());
            CliRunner cli = CliRunner.of(router);
            Await.until(
                    "all are listed",
                    () -> cli.run("get", "targets").out().lines().count() == daemons);
            cli.apply("[pool p]\n[intent i]\npool = p\n");
            fleet.waitForConfig(1);
            measureIdleCost(fleet, daemons);
            measureChanges(fleet, cli, false);
            measureChanges(fleet, cli, true);
            service.stop();
        }
    }

    private static double configVersion(Daemon d) {
        return d.registry().get("forkseam.config.version").gauge().value();
    }

    /** Prints the control traffic of an idle fleet. */
    private static void measureIdleCost(LocalFleet fleet, int daemons) throws InterruptedException {
        long reads = fleet.platform().tableReads();
        double bytes = controlBytes(fleet);
        Thread.sleep(IDLE_MILLIS);
        double seconds = IDLE_MILLIS / 1000.0;
        System.out.printf(
                "idle: daemons %d, control %.0f B/s each, table reads %.1f/s in all%n",
                daemons,
                (controlBytes(fleet) - bytes) / daemons / seconds,
                (fleet.platform().tableReads() - reads) / seconds);
    }

    private static double controlBytes(LocalFleet fleet) {
        double sum = 0;
        for (Daemon d : fleet.daemons()) {
            sum += d.registry().get("forkseam.control.bytes").functionCounter().count();
        }
        return sum;
    }

    /** Applies changes one by one and records when each daemon has applied them. */
    private static void measureChanges(LocalFleet fleet, CliRunner cli, boolean storeDownAfter)
            throws Exception {
        Histogram h = new Histogram(60_000, 3);
        List<Daemon> all = fleet.daemons();
        double bytes = controlBytes(fleet);
        long reads = fleet.platform().tableReads();
        for (int i = 0; i < CHANGES; i++) {
            fleet.platform().tableFaults().setDown(false);
            long before = (long) configVersion(all.get(0));
            if (cli.run("label", "team", "t", "n=" + i).code() != 0) {
                throw new ExecutionException("configuration change not accepted", null);
            }
            long accepted = System.nanoTime();
            fleet.platform().tableFaults().setDown(storeDownAfter);
            recordPropagation(all, before + 1, accepted, h);
        }
        fleet.platform().tableFaults().setDown(false);
        System.out.printf(
                "store %s: in force after p50 %d ms, p99 %d ms, max %d ms; %.0f control B each a"
                        + " change; %.1f reads a change%n",
                storeDownAfter ? "down after" : "up",
                h.getValueAtPercentile(50),
                h.getValueAtPercentile(99),
                h.getMaxValue(),
                (controlBytes(fleet) - bytes) / all.size() / CHANGES,
                (double) (fleet.platform().tableReads() - reads) / CHANGES);
    }

    private static void recordPropagation(
            List<Daemon> all, long version, long accepted, Histogram h)
            throws InterruptedException {
        boolean[] seen = new boolean[all.size()];
        int left = all.size();
        while (left > 0) {
            long millis = (System.nanoTime() - accepted) / 1_000_000;
            for (int i = 0; i < seen.length; i++) {
                if (!seen[i] && configVersion(all.get(i)) >= version) {
                    seen[i] = true;
                    left--;
                    h.recordValue(millis);
                }
            }
            Thread.sleep(2);
        }
    }
}
