package org.forkseam.direct;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;

import org.forkseam.direct.know.FleetState;
import org.forkseam.direct.know.TargetSignals;

/**
 * Meters for the store and the state read from it. Store calls are counted by kind; kinds first
 * used after the registry is bound appear only in the state dump. Used on the event loop.
 */
final class StoreMeters implements MeterBinder {
    private final FleetState mFleetState;

    private StoreMeters(FleetState fleetState) {
        mFleetState = fleetState;
    }

    static StoreMeters of(FleetState fleetState) {
        return new StoreMeters(fleetState);
    }

    @Override
    public void bindTo(MeterRegistry registry) {
        for (String kind : mFleetState.storeCalls().keySet()) {
            FunctionCounter.builder("forkseam.store.calls", mFleetState, k -> callCount(k, kind))
                    .tag("kind", kind)
                    .register(registry);
        }
        FunctionCounter.builder(
                        "forkseam.evacuations.changes", mFleetState, FleetState::evacuationChanges)
                .register(registry);
        FunctionCounter.builder("forkseam.store.returns", mFleetState, FleetState::storeRestores)
                .description("times the store came back from an older copy")
                .register(registry);
        FunctionCounter.builder(
                        "forkseam.store.eras.refused", mFleetState, FleetState::storeErasRefused)
                .description("answers and messages of an era that cannot be")
                .register(registry);
        Gauge.builder("forkseam.store.era", mFleetState, FleetState::storeEra)
                .description("era of the store, by its own count")
                .register(registry);
        Gauge.builder("forkseam.quarantined", mFleetState, k -> k.quarantine().refused())
                .description("requests that no target gets")
                .register(registry);
        Gauge.builder("forkseam.entries.unusable", mFleetState, FleetState::unusableEntries)
                .description("rows among the targets' that name none")
                .register(registry);
        for (TargetSignals.Signal signal : TargetSignals.Signal.values()) {
            FunctionCounter.builder(
                            "forkseam.target.words", mFleetState, k -> k.signals().received(signal))
                    .description("what targets said of themselves, by way")
                    .tag("word", TargetSignals.name(signal))
                    .register(registry);
        }
        Gauge.builder("forkseam.evacuations", mFleetState, k -> k.evacuated().size())
                .register(registry);
    }

    private static double callCount(FleetState k, String kind) {
        return k.storeCalls().getOrDefault(kind, 0L);
    }
}
