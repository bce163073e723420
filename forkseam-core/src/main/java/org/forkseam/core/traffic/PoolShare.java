package org.forkseam.core.traffic;

/**
 * Gives a pool a share of a route's requests.
 *
 * @param pool name of the pool
 * @param weight relative share, 0 or more
 */
public record PoolShare(String pool, int weight) {}
