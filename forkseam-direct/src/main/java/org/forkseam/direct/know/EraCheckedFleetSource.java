package org.forkseam.direct.know;

import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.store.StorePosition;
import org.forkseam.direct.spi.FleetSource;
import org.forkseam.direct.spi.OperatorState;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.Versioned;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Rejects responses of the store whose era is implausible. Confined to the event loop. */
final class EraCheckedFleetSource implements FleetSource {
    private static final String ORIGIN = "store";

    private final FleetSource mSource;
    private final StoreEra mEra;

    EraCheckedFleetSource(FleetSource source, StoreEra era) {
        mSource = source;
        mEra = era;
    }

    @Override
    public CompletableFuture<Versioned<OperatorState>> readOperatorState() {
        return mSource.readOperatorState().thenApply(r -> checked(mEra, r));
    }

    @Override
    public CompletableFuture<Versioned<OperatorState>> awaitOperatorState(
            StorePosition since, long waitMillis) {
        return mSource.awaitOperatorState(since, waitMillis).thenApply(r -> checked(mEra, r));
    }

    @Override
    public CompletableFuture<Versioned<List<TargetEntry>>> readTargets() {
        return mSource.readTargets().thenApply(r -> checked(mEra, r));
    }

    @Override
    public Map<String, Long> invalidEntries() {
        return mSource.invalidEntries();
    }

    /** Returns the response, or throws if its era is rejected. */
    static <T> Versioned<T> checked(StoreEra era, Versioned<T> read) {
        check(era, read.position());
        return read;
    }

    static void check(StoreEra era, StorePosition position) {
        if (!era.accepts(position, ORIGIN)) {
            throw new CompletionException(
                    SourceException.of(
                            "store response rejected: era "
                                    + position.era()
                                    + ", newest known era "
                                    + era.newest()));
        }
    }
}
