package org.forkseam.core.outcome;

/**
 * Describes the pool of an attempt, for {@link AttemptPatience}.
 *
 * @param shortage whether admission reports that callers ask for more than the pool can serve
 * @param hasRoomElsewhere whether a target that the request was not yet sent to has room
 * @since 0.8
 */
public record PoolPressure(boolean shortage, boolean hasRoomElsewhere) {}
