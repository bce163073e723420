package org.forkseam.core.traffic;

/**
 * Declares a pool of targets.
 *
 * @param name the pool's name
 * @param maxConnections connections a target takes from all routers together
 * @param engine whether its targets are model engines that keep prompts in memory
 * @param coldStart what its targets bear after a start
 */
public record Pool(String name, int maxConnections, boolean engine, ColdStart coldStart) {
    /** Returns a pool whose targets bear everything from their first moment on. */
    public static Pool of(String name, int maxConnections, boolean engine) {
        return new Pool(name, maxConnections, engine, ColdStart.NONE);
    }
}
