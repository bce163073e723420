package org.forkseam.direct;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;

import org.forkseam.direct.know.Knowledge;
import org.forkseam.direct.know.TargetSignals;

/**
 * Meters for the store and the state read from it. Store calls are counted by kind; kinds first
 * used after the registry is bound appear only in the state dump. Used on the event loop.
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
            FunctionCounter.builder("forkseam.store.calls", mKnowledge, k -> callCount(k, kind))
                    .tag("kind", kind)
                    .register(registry);
        }
        FunctionCounter.builder(
                        "forkseam.evacuations.changes", mKnowledge, Knowledge::evacuationChanges)
                .register(registry);
        FunctionCounter.builder("forkseam.store.returns", mKnowledge, Knowledge::storeRestores)
                .description("times the store came back from an older copy")
                .register(registry);
        FunctionCounter.builder(
                        "forkseam.store.eras.refused", mKnowledge, Knowledge::storeErasRefused)
                .description("answers and messages of an era that cannot be")
                .register(registry);
        Gauge.builder("forkseam.store.era", mKnowledge, Knowledge::storeEra)
                .description("era of the store, by its own count")
                .register(registry);
        Gauge.builder("forkseam.quarantined", mKnowledge, k -> k.quarantine().refused())
                .description("requests that no target gets")
                .register(registry);
        Gauge.builder("forkseam.entries.unusable", mKnowledge, Knowledge::unusableEntries)
                .description("rows among the targets' that name none")
                .register(registry);
        for (TargetSignals.Signal signal : TargetSignals.Signal.values()) {
            FunctionCounter.builder(
                            "forkseam.target.words", mKnowledge, k -> k.signals().received(signal))
                    .description("what targets said of themselves, by way")
                    .tag("word", TargetSignals.name(signal))
                    .register(registry);
        }
        Gauge.builder("forkseam.evacuations", mKnowledge, k -> k.evacuated().size())
                .register(registry);
    }

    private static double callCount(Knowledge k, String kind) {
        return k.storeCalls().getOrDefault(kind, 0L);
    }
}
