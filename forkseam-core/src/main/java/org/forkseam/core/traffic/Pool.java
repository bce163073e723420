package org.forkseam.core.traffic;

/**
 * Declaration of a pool of targets.
 *
 * @param name the pool's name
 * @param maxConnections maximum connections to a target from all routers
 * @param engine whether its targets are model engines that cache prompts
 * @param coldStart request limit of its targets while they are cold
 * @param cacheTokensPerSlot tokens of cache memory of an engine for each of its slots; 0 if unknown
 * @param healthPath path of the health check of its targets; empty if they have none
 */
public record Pool(
        String name,
        int maxConnections,
        boolean engine,
        ColdStart coldStart,
        long cacheTokensPerSlot,
        String healthPath) {
    /** Length of a prompt whose prefill delays other requests noticeably. */
    private static final long LARGE_PROMPT_TOKENS = 4_000;

    /** Creates a pool without cold period. */
    public static Pool of(String name, int maxConnections, boolean engine) {
        return new Pool(name, maxConnections, engine, ColdStart.NONE, 0, "");
    }

    /**
     * Returns whether an engine's memory is too small for large prompts in all of its slots. Not
     * named like a property, since routers exchange pools as JSON.
     */
    public boolean hasScarceMemory() {
        return cacheTokensPerSlot > 0 && cacheTokensPerSlot < LARGE_PROMPT_TOKENS;
    }
}
