package org.forkseam.bench;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Benchmarks placements on local fleets under several conditions; prints the results and writes
 * them as CSV and as a plot. Not thread-safe.
 */
public final class Bench {
    private static final int WARM_UP_SECONDS = 8;
    private static final String ALL_PLACEMENTS =
            "std,consistent-hash,two-choices,round-robin,random";

    @Option(name = "--deployments", metaVar = "LIST", usage = "of ertis,association")
    private String mDeployments = "ertis,association";

    @Option(name = "--conditions", metaVar = "LIST", usage = "of quiet,surge,churn,outage")
    private String mConditions = "quiet,surge,churn,outage";

    @Option(name = "--placements", metaVar = "LIST", usage = "of " + ALL_PLACEMENTS)
    private String mPlacements = ALL_PLACEMENTS;

    @Option(name = "--seconds", usage = "length of each trace")
    private int mSeconds = 15;

    @Option(name = "--rate", usage = "requests a second")
    private double mRate = 300;

    @Option(name = "--chats", usage = "chats that take turns")
    private int mChats = 300;

    @Option(name = "--seed", usage = "of the traces")
    private long mSeed = 1;

    @Option(name = "--out", metaVar = "DIR", usage = "where results go")
    private Path mOut = Path.of("bench-out");

    @Option(name = "--overhead", usage = "measure what the path adds to a direct call instead")
    private boolean mOverhead;

    @Option(name = "--spread", metaVar = "N", usage = "measure a change over N daemons instead")
    private int mSpread;

    @Option(name = "--frames", usage = "measure token frames through a router instead")
    private boolean mFrames;

    @Option(name = "--help", help = true, usage = "show this text")
    private boolean mHelp;

    private Bench() {}

    /** Runs the benchmarks selected by the options. */
    public static void main(String[] args) throws Exception {
        Bench b = new Bench();
        CmdLineParser parser = new CmdLineParser(b);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("bench: " + e.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        if (b.mHelp) {
            parser.printUsage(System.out);
        } else if (b.mOverhead) {
            Overhead.run(b.mRate, b.mSeconds);
        } else if (b.mSpread > 1) {
            ConfigPropagation.run(b.mSpread);
        } else if (b.mFrames) {
            FrameThroughput.run();
        } else {
            b.run();
        }
        System.exit(0);
    }

    private void run() throws Exception {
        // JVM warm-up; the result is discarded.
        Trace.Shape warmUp = new Trace.Shape(WARM_UP_SECONDS, mRate, mChats, 10, false);
        Experiment.run(new Experiment.Plan("ertis", "quiet", "two-choices", warmUp, mSeed));
        List<Map<String, Object>> rows = new ArrayList<>();
        for (String deployment : mDeployments.split(",")) {
            for (String condition : mConditions.split(",")) {
                for (String placement : mPlacements.split(",")) {
                    Trace.Shape shape =
                            new Trace.Shape(mSeconds, mRate, mChats, 10, condition.equals("surge"));
                    Experiment.Plan plan =
                            new Experiment.Plan(deployment, condition, placement, shape, mSeed);
                    Map<String, Object> row = Experiment.run(plan);
                    rows.add(row);
                    System.out.println(row);
                }
            }
        }
        write(rows);
    }

    private void write(List<Map<String, Object>> rows) throws IOException {
        Files.createDirectories(mOut);
        List<String> lines = new ArrayList<>();
        lines.add(String.join(",", rows.get(0).keySet()));
        for (Map<String, Object> r : rows) {
            lines.add(r.values().stream().map(String::valueOf).collect(Collectors.joining(",")));
        }
        Files.write(mOut.resolve("bench.csv"), lines);
        Plot.write(rows, mOut.resolve("bench.svg"));
        System.out.println("written to " + mOut);
    }
}
