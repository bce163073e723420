package org.forkseam.core.load;

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
        double pairs = uncachedTokens * (contextTokens - uncachedTokens / 2.0);
        return FIRST_EVENT_MILLIS
                + uncachedTokens / tokensPerMilli
                + MILLIS_PER_MILLION_PAIRS * pairs / PAIRS_PER_MILLION;
    }
}
