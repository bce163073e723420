package org.forkseam.core.load;

/**
 * Holds the load of a target at a point in time, as counted by its sidecar.
 *
 * @param target the target's name
 * @param sequence increases with each change of the load, also across restarts of the sidecar
 * @param load requests running and queued
 * @param capacity number of requests the target runs concurrently
 * @param leaving whether the target accepts no new work
 * @param atMillis when the digest was valid, by the receiver's clock
 */
public record LoadDigest(
        String target, long sequence, int load, int capacity, boolean leaving, long atMillis) {

    /** Returns whether this digest is newer than another of the same target. */
    public boolean isNewerThan(LoadDigest other) {
        return sequence > other.sequence;
    }
}
