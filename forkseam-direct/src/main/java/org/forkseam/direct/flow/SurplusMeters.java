package org.forkseam.direct.flow;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;

import org.forkseam.direct.io.SurplusCounts;
import org.forkseam.direct.io.SurplusKind;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Meters for what targets send beyond the responses that are due. Used on the event loop. */
final class SurplusMeters implements MeterBinder {
    private final SurplusCounts mCounts;

    private SurplusMeters(SurplusCounts counts) {
        mCounts = counts;
    }

    static SurplusMeters of(SurplusCounts counts) {
        return new SurplusMeters(counts);
    }

    @Override
    public void bindTo(MeterRegistry registry) {
        for (SurplusKind k : SurplusKind.values()) {
            FunctionCounter.builder("forkseam.surplus", mCounts, c -> c.occurrences(k))
                    .description("what targets sent beyond the responses that were due")
                    .tag("kind", tag(k))
                    .register(registry);
            FunctionCounter.builder("forkseam.surplus.bytes", mCounts, c -> c.bytes(k))
                    .description("bytes that targets sent beyond the responses that were due")
                    .tag("kind", tag(k))
                    .register(registry);
        }
    }

    /** Returns the occurrences by kind, for the state dump. */
    Map<String, Long> dump() {
        Map<String, Long> m = new LinkedHashMap<>();
        for (SurplusKind k : SurplusKind.values()) {
            m.put(tag(k), mCounts.occurrences(k));
        }
        return m;
    }

    private static String tag(SurplusKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
