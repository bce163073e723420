package org.forkseam.core.traffic;

/**
 * Declares a pool of targets.
 *
 * @param name the pool's name
 * @param maxConnections connections a target takes from all routers together
 * @param engine whether its targets are model engines that keep prompts in memory
 */
public record Pool(String name, int maxConnections, boolean engine) {}
