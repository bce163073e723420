package org.forkseam.direct.flow;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

import org.forkseam.direct.log.CountingAppender;
import org.forkseam.direct.log.Event;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Counts what becomes of requests and attempts. Used on the event loop. */
final class FlowCounters {
    private final MeterRegistry mRegistry;
    private final Map<String, Counter> mOutcomes = new HashMap<>();
    private final Map<String, Counter> mAttempts = new HashMap<>();
    private final Timer mFirstByte;
    private final Timer mWhole;

    FlowCounters(MeterRegistry registry) {
        mRegistry = registry;
        mFirstByte = timer("forkseam.first_byte", "from a request to the first byte of its answer");
        mWhole = timer("forkseam.request", "from a request to the end of its answer");
        registry.gauge("forkseam.log.dropped", this, c -> CountingAppender.dropped());
        registry.gauge("forkseam.log.skipped", this, c -> Event.skipped());
    }

    private Timer timer(String name, String help) {
        return Timer.builder(name)
                .description(help)
                .serviceLevelObjectives(
                        Duration.ofMillis(50),
                        Duration.ofMillis(100),
                        Duration.ofMillis(200),
                        Duration.ofMillis(400),
                        Duration.ofMillis(800),
                        Duration.ofMillis(1600),
                        Duration.ofMillis(5000))
                .register(mRegistry);
    }

    void onOutcome(String outcome) {
        mOutcomes
                .computeIfAbsent(outcome, o -> mRegistry.counter("forkseam.requests", "outcome", o))
                .increment();
    }

    void onAttempt(String end) {
        mAttempts
                .computeIfAbsent(end, e -> mRegistry.counter("forkseam.attempts", "end", e))
                .increment();
    }

    void onMalformed() {
        onOutcome("malformed");
    }

    void onFirstByte(long millis) {
        mFirstByte.record(millis, TimeUnit.MILLISECONDS);
    }

    void onEnd(long millis) {
        mWhole.record(millis, TimeUnit.MILLISECONDS);
    }
}
