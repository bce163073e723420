package org.forkseam.core.load;

/**
 * Says what one target carried at one moment, as its own sidecar counted it.
 *
 * @param target the target's name
 * @param sequence grows with each change of the load, over restarts of the sidecar too
 * @param load requests running and waiting
 * @param capacity requests the target runs at once
 * @param leaving whether the target takes no new work
 * @param atMillis when the digest was true, by the receiver's clock
 */
public record LoadDigest(
        String target, long sequence, int load, int capacity, boolean leaving, long atMillis) {

    /** Returns whether this digest tells more recent news of the same target. */
    public boolean isNewerThan(LoadDigest other) {
        return sequence > other.sequence;
    }
}
