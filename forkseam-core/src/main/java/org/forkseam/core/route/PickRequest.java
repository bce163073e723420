package org.forkseam.core.route;

/**
 * Says what a target is wanted for.
 *
 * @param key requests with the same key prefer the same target
 * @param sharedTokens prompt tokens that the preferred target is likely to have read already
 * @param seats the pool's seats
 * @param resting targets besides the candidates that get no work for now, though they are well:
 *     they count for the pool's mean load, with no load of their own
 * @since 0.2
 */
public record PickRequest(String key, long sharedTokens, SeatTable seats, int resting) {
    /** Returns a request to a pool of which all targets that are well are candidates. */
    public static PickRequest of(String key, long sharedTokens, SeatTable seats) {
        return new PickRequest(key, sharedTokens, seats, 0);
    }
}
