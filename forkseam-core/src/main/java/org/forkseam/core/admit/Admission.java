package org.forkseam.core.admit;

import org.forkseam.core.load.LoadBound;
import org.forkseam.core.outcome.RefusalReason;

import java.util.Optional;

/**
 * Decides at a target's own sidecar whether one more request may come in.
 *
 * <p>This is where "no engine is overloaded" is kept: routers guess, and what is decided here
 * holds. Pure and stateless.
 *
 * @since 0.1
 */
public final class Admission {
    private Admission() {}

    /**
     * Holds what the sidecar knows of its target and pool at this moment.
     *
     * @param leaving whether the target takes no new work
     * @param running requests the target runs
     * @param queued requests that wait
     * @param capacity requests the target runs at once
     * @param othersLoad load of the pool's other targets by the newest digests
     * @param totalCapacity capacity of the whole pool, this target included
     * @param maxLoadMultiple the pool's bound
     * @param serviceMillis usual time a request runs
     */
    public record Facts(
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
     * Returns why a request must not come in, or empty if it may.
     *
     * @param facts the target and pool
     * @param aheadInQueue requests that would be served before it
     * @param remainingMillis time until its deadline
     */
    public static Optional<RefusalReason> refuse(
            Facts facts, int aheadInQueue, long remainingMillis) {
        if (facts.leaving()) {
            return Optional.of(RefusalReason.LEAVING);
        }
        if (remainingMillis <= 0) {
            return Optional.of(RefusalReason.DEADLINE);
        }
        boolean fits =
                LoadBound.admits(
                        facts.maxLoadMultiple(),
                        facts.load(),
                        facts.othersLoad(),
                        facts.capacity(),
                        facts.totalCapacity());
        if (!fits) {
            return Optional.of(RefusalReason.OVER_BOUND);
        }
        if (expectedWaitMillis(facts, aheadInQueue) > remainingMillis) {
            return Optional.of(RefusalReason.DEADLINE);
        }
        return Optional.empty();
    }

    /** Returns the time a request would wait before it starts. */
    public static long expectedWaitMillis(Facts facts, int aheadInQueue) {
        if (facts.running() < facts.capacity()) {
            return 0;
        }
        return (long) (facts.serviceMillis() * (aheadInQueue + 1) / facts.capacity());
    }
}
