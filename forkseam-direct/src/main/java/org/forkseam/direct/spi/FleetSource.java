package org.forkseam.direct.spi;

import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.traffic.TrafficConfig;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Is where routers learn of the operators' configuration and of targets.
 *
 * <p>Futures complete on the event loop, and fail with a {@link SourceException} when no usable
 * answer came.
 *
 * @since 0.2
 */
public interface FleetSource {
    /** Reads the newest configuration; empty if there is none yet. */
    CompletableFuture<Versioned<Optional<TrafficConfig>>> readConfig();

    /**
     * Waits for a configuration newer than a revision.
     *
     * @param revision of the last read
     * @param waitMillis longest time to wait; then the result holds no configuration
     */
    CompletableFuture<Versioned<Optional<TrafficConfig>>> awaitConfig(
            long revision, long waitMillis);

    /** Reads the list of targets. */
    CompletableFuture<Versioned<List<TargetEntry>>> readTargets();
}
