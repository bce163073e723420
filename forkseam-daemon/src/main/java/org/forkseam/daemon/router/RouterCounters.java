package org.forkseam.daemon.router;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

import org.forkseam.core.outcome.OutcomeKind;
import org.forkseam.core.outcome.RefusalReason;

import java.util.concurrent.TimeUnit;

/** Metrics of a router. Tag values are limited to enum constants. Thread-safe. */
final class RouterCounters {
    private final MeterRegistry mRegistry;
    private final Counter mRequests;
    private final Counter mRetries;
    private final Counter mSpills;
    private final Counter mMalformed;
    private final Counter mCallerDisconnects;
    private final Timer mFirstByte;

    RouterCounters(MeterRegistry registry) {
        mRegistry = registry;
        mRequests = registry.counter("forkseam.router.requests");
        mRetries = registry.counter("forkseam.router.retries");
        mSpills = registry.counter("forkseam.router.spills");
        mMalformed = registry.counter("forkseam.router.malformed.requests");
        mCallerDisconnects = registry.counter("forkseam.router.callers.gone");
        mFirstByte =
                Timer.builder("forkseam.router.first.byte")
                        .publishPercentiles(0.5, 0.95, 0.99)
                        .register(registry);
    }

    void onRequest() {
        mRequests.increment();
    }

    void onRetry() {
        mRetries.increment();
    }

    void onSpill() {
        mSpills.increment();
    }

    void onMalformed() {
        mMalformed.increment();
    }

    void onCallerDisconnected() {
        mCallerDisconnects.increment();
    }

    void onFirstByte(long millis) {
        mFirstByte.record(millis, TimeUnit.MILLISECONDS);
    }

    void onRefused(RefusalReason reason) {
        mRegistry.counter("forkseam.router.refusals", "reason", reason.name()).increment();
    }

    void onOutcome(OutcomeKind kind) {
        mRegistry.counter("forkseam.router.outcomes", "kind", kind.name()).increment();
    }

    double requests() {
        return mRequests.count();
    }
}
