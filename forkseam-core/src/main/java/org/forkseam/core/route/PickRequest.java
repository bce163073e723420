package org.forkseam.core.route;

/**
 * Says what a target is wanted for.
 *
 * @param key requests with the same key prefer the same target
 * @param sharedTokens prompt tokens that the preferred target is likely to have read already
 * @param seats the pool's seats
 * @since 0.2
 */
public record PickRequest(String key, long sharedTokens, SeatTable seats) {}
