package org.forkseam.platform;

import java.util.concurrent.CompletableFuture;

/**
 * Rate-limited store of model weights, provided by the platform.
 *
 * @since 0.1
 */
public interface WeightStore {
    /** Response to a permit request. */
    sealed interface Permit {
        /** The download may start. */
        record Granted() implements Permit {}

        /**
         * The rate limit is exhausted.
         *
         * @param retryAfterMillis delay before the next request
         */
        record RateLimited(long retryAfterMillis) implements Permit {}

        /** The weights do not exist. */
        record NotFound() implements Permit {}
    }

    /** Requests permission to start a download of the weights. */
    CompletableFuture<Permit> requestPermit(String weights);
}
