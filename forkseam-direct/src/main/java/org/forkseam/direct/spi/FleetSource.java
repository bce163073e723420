package org.forkseam.direct.spi;

import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.store.StorePosition;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Source of operator state and the list of targets.
 *
 * <p>Futures complete on the event loop, and fail with a {@link SourceException} if there is no
 * usable response.
 *
 * @since 0.2
 */
public interface FleetSource {
    /** Reads the newest configuration, if any, and the evacuated failure domains. */
    CompletableFuture<Versioned<OperatorState>> readOperatorState();

    /**
     * Waits for operator changes newer than a position. A result of another era may lack changes.
     *
     * @param since position of the last read
     * @param waitMillis maximum wait, after which the result is empty
     */
    CompletableFuture<Versioned<OperatorState>> awaitOperatorState(
            StorePosition since, long waitMillis);

    /** Reads the list of targets. */
    CompletableFuture<Versioned<List<TargetEntry>>> readTargets();

    /** Returns the number of invalid entries in the last list, by reason. */
    Map<String, Long> invalidEntries();
}
