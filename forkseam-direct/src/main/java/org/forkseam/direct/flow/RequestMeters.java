package org.forkseam.direct.flow;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.MeterBinder;

import org.forkseam.direct.log.BoundedAsyncAppender;
import org.forkseam.direct.log.Event;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Meters for requests and attempts. Used on the event loop.
 *
 * <p>Values are collected in plain fields until a registry is bound, so that the registry's classes
 * are loaded only after startup.
 */
final class RequestMeters implements MeterBinder {
    /** Maximum number of samples buffered until a registry is bound. */
    private static final int MAX_PENDING = 4_096;

    private static final Duration[] BUCKETS = {
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(400),
        Duration.ofMillis(800),
        Duration.ofMillis(1600),
        Duration.ofMillis(5000)
    };

    private final Map<String, Counter> mOutcomes = new HashMap<>();
    private final Map<String, Counter> mAttempts = new HashMap<>();
    private final Map<String, Counter> mRetries = new HashMap<>();
    private final Map<String, Counter> mStreamsResumed = new HashMap<>();
    private final Map<String, Counter> mSecondAttempts = new HashMap<>();
    private final Map<String, Counter> mSecondAttemptsWithheld = new HashMap<>();
    private final Map<String, Counter> mLivenessChecks = new HashMap<>();
    private final Map<String, Counter> mMemoryRefusals = new HashMap<>();
    private final Map<String, Counter> mPlacements = new HashMap<>();
    private final Map<String, Counter> mAdmissions = new HashMap<>();
    private final Map<String, DoubleSupplier> mAdmissionShares = new HashMap<>();
    private final LatencyHistogram mFirstByte = new LatencyHistogram();
    private final LatencyHistogram mTotal = new LatencyHistogram();
    private Optional<MeterRegistry> mRegistry = Optional.empty();
    private long mMalformedLoads;

    @Override
    public void bindTo(MeterRegistry registry) {
        mRegistry = Optional.of(registry);
        mOutcomes.forEach((k, c) -> c.register("forkseam.requests", "outcome", k, registry));
        mAttempts.forEach((k, c) -> c.register("forkseam.attempts", "end", k, registry));
        mRetries.forEach((k, c) -> c.register("forkseam.retries", "budget", k, registry));
        mStreamsResumed.forEach(
                (k, c) -> c.register("forkseam.streams.resumed", "origin", k, registry));
        mSecondAttempts.forEach(
                (k, c) -> c.register("forkseam.second_attempts", "reason", k, registry));
        mSecondAttemptsWithheld.forEach(
                (k, c) -> c.register("forkseam.second_attempts.withheld", "reason", k, registry));
        mLivenessChecks.forEach(
                (k, c) -> c.register("forkseam.liveness_checks", "result", k, registry));
        mMemoryRefusals.forEach(
                (k, c) -> c.register("forkseam.memory.refusals", "what", k, registry));
        mPlacements.forEach((k, c) -> c.register("forkseam.placements", "result", k, registry));
        mAdmissions.forEach((k, c) -> c.register("forkseam.admission", "decision", k, registry));
        mAdmissionShares.forEach((pool, share) -> registerShare(pool, share, registry));
        mFirstByte.bind(
                registry, "forkseam.first_byte", "from a request to the first byte of its answer");
        mTotal.bind(registry, "forkseam.request", "from a request to the end of its answer");
        FunctionCounter.builder("forkseam.load.malformed", this, c -> c.mMalformedLoads)
                .description("load reports of targets with a malformed figure")
                .register(registry);
        registry.gauge("forkseam.log.dropped", this, c -> BoundedAsyncAppender.dropped());
        registry.gauge("forkseam.log.skipped", this, c -> Event.skipped());
    }

    void onOutcome(String outcome) {
        count(mOutcomes, "forkseam.requests", "outcome", outcome);
    }

    void onAttempt(String end) {
        count(mAttempts, "forkseam.attempts", "end", end);
    }

    private void count(Map<String, Counter> counts, String name, String tag, String value) {
        Counter c = counts.get(value);
        if (c == null) {
            c = new Counter();
            counts.put(value, c);
            if (mRegistry.isPresent()) {
                c.register(name, tag, value, mRegistry.get());
            }
        }
        c.mValue++;
    }

    /** Counts a retry that the pool's budget allowed or denied. */
    void onRetry(boolean allowed) {
        count(mRetries, "forkseam.retries", "budget", allowed ? "taken" : "denied");
    }

    /** Counts a second attempt that was made because of missing data. */
    void onSecondAttempt(String reason) {
        count(mSecondAttempts, "forkseam.second_attempts", "reason", reason);
    }

    /** Counts an attempt that continues beyond its timeout. */
    void onSecondAttemptWithheld(String reason) {
        count(mSecondAttemptsWithheld, "forkseam.second_attempts.withheld", "reason", reason);
    }

    /** Counts a stream that a caller resumes, by how its origin was found. */
    void onStreamResumed(String origin) {
        count(mStreamsResumed, "forkseam.streams.resumed", "origin", origin);
    }

    /** Counts a check of a target that ended a response by closing its connection. */
    void onLivenessCheck(String result) {
        count(mLivenessChecks, "forkseam.liveness_checks", "result", result);
    }

    /** Counts what was refused or given up because memory or connections were short. */
    void onMemoryRefusal(String what) {
        count(mMemoryRefusals, "forkseam.memory.refusals", "what", what);
    }

    /** Counts a prompt for which a coordinator was asked, by result. */
    void onPlacement(String result) {
        count(mPlacements, "forkseam.placements", "result", result);
    }

    /** Counts a decision about the admission of a request to a contended pool. */
    void onAdmission(String decision) {
        count(mAdmissions, "forkseam.admission", "decision", decision);
    }

    /** Adds a gauge of the admitted share of a contended pool. */
    void addAdmissionShare(String pool, DoubleSupplier share) {
        mAdmissionShares.put(pool, share);
        mRegistry.ifPresent(r -> registerShare(pool, share, r));
    }

    private static void registerShare(String pool, DoubleSupplier share, MeterRegistry registry) {
        Gauge.builder("forkseam.admission.share", share, DoubleSupplier::getAsDouble)
                .tag("pool", pool)
                .strongReference(true)
                .register(registry);
    }

    void onHeldForTarget() {
        count(mAttempts, "forkseam.attempts", "end", "HELD_FOR_TARGET");
    }

    void onMalformed() {
        onOutcome("malformed");
    }

    /** Counts a response whose load report is malformed, entirely or in part. */
    void onMalformedLoad() {
        mMalformedLoads++;
    }

    void onFirstByte(long millis) {
        mFirstByte.record(millis);
    }

    void onEnd(long millis) {
        mTotal.record(millis);
    }

    /** A counter that can be registered later. */
    private static final class Counter {
        private long mValue;

        void register(String name, String tag, String value, MeterRegistry registry) {
            FunctionCounter.builder(name, this, c -> c.mValue)
                    .tags(Tags.of(tag, value))
                    .register(registry);
        }
    }

    /** A latency histogram that buffers samples until a registry is bound. */
    private static final class LatencyHistogram {
        private final Deque<Long> mPending = new ArrayDeque<>();
        private Optional<Timer> mTimer = Optional.empty();

        void bind(MeterRegistry registry, String name, String help) {
            Timer t =
                    Timer.builder(name)
                            .description(help)
                            .serviceLevelObjectives(BUCKETS)
                            .register(registry);
            mPending.forEach(ms -> t.record(ms, TimeUnit.MILLISECONDS));
            mPending.clear();
            mTimer = Optional.of(t);
        }

        void record(long millis) {
            if (mTimer.isPresent()) {
                mTimer.get().record(millis, TimeUnit.MILLISECONDS);
            } else if (mPending.size() < MAX_PENDING) {
                mPending.add(millis);
            }
        }
    }
}
