package org.forkseam.core.traffic;

/**
 * Declaration of a pool of targets.
 *
 * @param name the pool's name
 * @param maxConnections maximum connections to a target from all routers
 * @param engine whether its targets are model engines that cache prompts
 * @param coldStart request limit of its targets while they are cold
 */
public record Pool(String name, int maxConnections, boolean engine, ColdStart coldStart) {
    /** Creates a pool without cold period. */
    public static Pool of(String name, int maxConnections, boolean engine) {
        return new Pool(name, maxConnections, engine, ColdStart.NONE);
    }
}
