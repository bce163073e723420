package org.forkseam.bench;

import org.forkseam.core.cfg.PoolSpec;
import org.forkseam.core.label.Labels;
import org.forkseam.core.label.Selector;
import org.forkseam.core.load.LoadDigest;
import org.forkseam.core.route.CacheAwarePlacement;
import org.forkseam.core.route.Candidate;
import org.forkseam.core.route.ChatTicket;
import org.forkseam.core.route.PlacementRequest;
import org.forkseam.core.route.PoolView;
import org.forkseam.core.route.PrefixDirectory;
import org.forkseam.core.route.TargetView;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Benchmarks placement decisions and membership changes for several pool sizes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {
    private static final int CAPACITY = 32;

    /** Number of targets in the pool. */
    @Param({"12", "70", "830"})
    public int mTargets;

    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final CacheAwarePlacement mPlacement =
            CacheAwarePlacement.of(PrefixDirectory.of(PrefixDirectory.DEFAULT_SIZE), mRandom);
    private final List<TargetView> mViews = new ArrayList<>();
    private PoolView mPool;
    private long mNow = 1_000_000;

    /** Runs the benchmark. */
    public static void main(String[] args) throws RunnerException {
        String name = DecisionBenchmark.class.getSimpleName();
        new Runner(new OptionsBuilder().include(name).build()).run();
    }

    /** Creates the pool. */
    @Setup
    public void setUp() {
        for (int i = 0; i < mTargets; i++) {
            TargetView t =
                    TargetView.of("t" + i, "d" + i % 9, "127.0.0.1:1", Labels.empty(), CAPACITY);
            t.onDigest(new LoadDigest("t" + i, 1, 10 + mRandom.nextInt(5), CAPACITY, false, mNow));
            mViews.add(t);
        }
        PoolSpec s =
                new PoolSpec(
                        "p",
                        Selector.all(),
                        1.25,
                        PoolSpec.Preference.REUSE,
                        256,
                        Duration.ofMinutes(1));
        mPool = PoolView.of(s, mViews);
    }

    /** Ranks the candidates of one request. */
    @Benchmark
    public List<Candidate> decide() {
        mNow += 1;
        long chat = mRandom.nextLong();
        ChatTicket k = new ChatTicket(chat, "t" + mRandom.nextInt(mTargets), 900, mNow - 60_000);
        PlacementRequest r = new PlacementRequest(chat, 1000, 7, 400, true, Optional.of(k));
        return mPlacement.rank(r, mPool, mNow);
    }

    /** Removes a target from the pool and adds it again. */
    @Benchmark
    public PoolView changeMembers() {
        PoolView reduced = mPool.with(mPool.spec(), mViews.subList(1, mTargets));
        return reduced.with(mPool.spec(), mViews);
    }
}
