package org.forkseam.core.load;

import java.util.OptionalDouble;

/**
 * Estimates the work that a prompt causes at an engine, so that load is compared by time instead of
 * by requests: prompts differ in length by a factor of fifty, and cached tokens cost nothing.
 * Stateless.
 *
 * @since 0.8
 */
public final class PromptWork {
    /** Time from the end of the prefill to the first event: some decode steps. */
    private static final double FIRST_EVENT_MILLIS = 25;

    /** Quadratic share of the prefill: attention of new tokens to all tokens of the prompt. */
    private static final double MILLIS_PER_MILLION_PAIRS = 0.75;

    private static final double PAIRS_PER_MILLION = 1e6;

    private PromptWork() {}

    /**
     * Returns the time in milliseconds until an engine at its usual speed and without other work
     * sends the first event.
     *
     * @param uncachedTokens tokens that the engine has to prefill
     * @param contextTokens length of the whole prompt in tokens
     * @param tokensPerMilli prefill rate of the pool's engines
     */
    public static double millis(long uncachedTokens, long contextTokens, double tokensPerMilli) {
        return FIRST_EVENT_MILLIS
                + uncachedTokens / tokensPerMilli
                + attentionMillis(uncachedTokens, contextTokens);
    }

    /**
     * Returns the prefill rate at which an engine sends the first event after the given time, the
     * inverse of {@link #millis}; empty if no rate is that fast.
     *
     * @param uncachedTokens tokens that the engine had to prefill
     * @param contextTokens length of the whole prompt in tokens
     * @param millis time from the request to the first event
     */
    public static OptionalDouble tokensPerMilli(
            long uncachedTokens, long contextTokens, double millis) {
        double readMillis =
                millis - FIRST_EVENT_MILLIS - attentionMillis(uncachedTokens, contextTokens);
        return readMillis <= 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(uncachedTokens / readMillis);
    }

    private static double attentionMillis(long uncachedTokens, long contextTokens) {
        double pairs = uncachedTokens * (contextTokens - uncachedTokens / 2.0);
        return MILLIS_PER_MILLION_PAIRS * pairs / PAIRS_PER_MILLION;
    }
}
