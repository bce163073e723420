package org.forkseam.core.admit;

import org.forkseam.core.load.LoadBound;
import org.forkseam.core.outcome.RefusalReason;

import java.util.Optional;

/**
 * Admission control of a target's sidecar. Routers work with estimates; this decision is
 * authoritative and keeps engines from being overloaded.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class Admission {
    private Admission() {}

    /**
     * State of the target and its pool as known to the sidecar.
     *
     * @param leaving whether the target accepts no new requests
     * @param running number of requests being served
     * @param queued number of requests waiting
     * @param capacity number of requests the target serves concurrently
     * @param othersLoad total load of the pool's other targets, by their newest digests
     * @param totalCapacity capacity of the pool, including this target
     * @param maxLoadMultiple the pool's load bound, as a multiple of the mean load
     * @param serviceMillis typical service time of a request
     */
    public record Snapshot(
            boolean leaving,
            int running,
            int queued,
            int capacity,
            long othersLoad,
            long totalCapacity,
            double maxLoadMultiple,
            double serviceMillis) {
        int load() {
            return running + queued;
        }
    }

    /**
     * Returns why a request must be refused, or empty if it is admitted.
     *
     * @param snapshot state of the target and its pool
     * @param aheadInQueue number of requests that would be served first
     * @param remainingMillis time until the request's deadline
     */
    public static Optional<RefusalReason> refusalReason(
            Snapshot snapshot, int aheadInQueue, long remainingMillis) {
        if (snapshot.leaving()) {
            return Optional.of(RefusalReason.LEAVING);
        }
        if (remainingMillis <= 0) {
            return Optional.of(RefusalReason.DEADLINE);
        }
        boolean fits =
                LoadBound.admits(
                        snapshot.maxLoadMultiple(),
                        snapshot.load(),
                        snapshot.othersLoad(),
                        snapshot.capacity(),
                        snapshot.totalCapacity());
        if (!fits) {
            return Optional.of(RefusalReason.OVER_BOUND);
        }
        if (expectedWaitMillis(snapshot, aheadInQueue) > remainingMillis) {
            return Optional.of(RefusalReason.DEADLINE);
        }
        return Optional.empty();
    }

    /** Returns the expected queueing time of a request in milliseconds. */
    public static long expectedWaitMillis(Snapshot snapshot, int aheadInQueue) {
        if (snapshot.running() < snapshot.capacity()) {
            return 0;
        }
        return (long) (snapshot.serviceMillis() * (aheadInQueue + 1) / snapshot.capacity());
    }
}
