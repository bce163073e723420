package org.forkseam.core.admit;

/**
 * Decision about a request that asks for admission to a pool.
 *
 * @since 0.8
 */
public sealed interface Decision {
    /** The request begins now. */
    record Begin() implements Decision {}

    /**
     * The request is in the hold queue.
     *
     * @param untilMillis time at which a target is expected to have room
     */
    record Hold(long untilMillis) implements Decision {}

    /**
     * The request is refused without being run.
     *
     * @param cause why it is refused
     * @param retryAfterMillis expected duration of the shortage, before jitter
     */
    record Reject(Cause cause, long retryAfterMillis) implements Decision {}

    /** Cause of a rejection. */
    enum Cause {
        /** The request is not in the share of requests that are begun. */
        SHARE,
        /** No target has room soon enough, or the hold queue is full. */
        FULL
    }
}
