package org.forkseam.direct;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;

import org.forkseam.direct.know.Knowledge;

/**
 * Counts the calls made to the store, by kind: each has its price. Kinds of call that are first
 * made after the registry is bound are counted in the state dump only.
 */
final class StoreMeters implements MeterBinder {
    private final Knowledge mKnowledge;

    private StoreMeters(Knowledge knowledge) {
        mKnowledge = knowledge;
    }

    static StoreMeters of(Knowledge knowledge) {
        return new StoreMeters(knowledge);
    }

    @Override
    public void bindTo(MeterRegistry registry) {
        for (String kind : mKnowledge.storeCalls().keySet()) {
            FunctionCounter.builder("forkseam.store.calls", mKnowledge, k -> calls(k, kind))
                    .tag("kind", kind)
                    .register(registry);
        }
    }

    private static double calls(Knowledge k, String kind) {
        return k.storeCalls().getOrDefault(kind, 0L);
    }
}
