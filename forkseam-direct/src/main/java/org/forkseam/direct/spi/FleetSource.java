package org.forkseam.direct.spi;

import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.store.StorePosition;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Is where routers learn of what operators have written, and of targets.
 *
 * <p>Futures complete on the event loop, and fail with a {@link SourceException} when no usable
 * answer came.
 *
 * @since 0.2
 */
public interface FleetSource {
    /** Reads the newest configuration, if there is one, and which domains are evacuated. */
    CompletableFuture<Versioned<OperatorState>> readOperatorState();

    /**
     * Waits for a change by operators that is newer than a position; an answer of another era may
     * lack changes.
     *
     * @param since position of the last read
     * @param waitMillis longest time to wait; then the result holds no change
     */
    CompletableFuture<Versioned<OperatorState>> awaitOperatorState(
            StorePosition since, long waitMillis);

    /** Reads the list of targets. */
    CompletableFuture<Versioned<List<TargetEntry>>> readTargets();

    /** Returns how many entries of the last list named no target to use, by what was wrong. */
    Map<String, Long> invalidEntries();
}
