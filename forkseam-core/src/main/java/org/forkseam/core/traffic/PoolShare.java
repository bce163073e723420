package org.forkseam.core.traffic;

/**
 * Share of a pool in a route's requests.
 *
 * @param pool the pool's name
 * @param weight relative weight, 0 or more
 */
public record PoolShare(String pool, int weight) {}
