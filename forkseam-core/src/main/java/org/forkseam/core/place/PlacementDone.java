package org.forkseam.core.place;

/**
 * Reports the end of a prompt's prefill to the coordinator that placed it.
 *
 * @param id identifies the placement
 * @param engine short hash of the engine that received the request; {@link PlacementReply#NONE} if
 *     none did
 * @param ok whether the first event has arrived
 * @param slowdown how many times longer than usual the engine's work takes; 1 if unknown
 * @since 0.8
 */
public record PlacementDone(long id, int engine, boolean ok, double slowdown) {
    /** Returns whether the slowdown is possible. */
    public boolean isValid() {
        return slowdown > 0;
    }
}
