package org.forkseam.platform;

import java.util.concurrent.CompletableFuture;

/**
 * Is the platform's rate-limited store of model weights.
 *
 * @since 0.1
 */
public interface WeightStore {
    /** Says whether a download may start now. */
    sealed interface Permit {
        /** A download may start. */
        record Granted() implements Permit {}

        /**
         * The rate is used up.
         *
         * @param afterMillis when to ask again
         */
        record Later(long afterMillis) implements Permit {}

        /** There are no such weights. */
        record Absent() implements Permit {}
    }

    /** Asks whether a download of these weights may start. */
    CompletableFuture<Permit> ask(String weights);
}
