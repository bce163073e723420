package org.forkseam.core.route;

import org.forkseam.core.member.Target;

/**
 * Holds the target picked for a request.
 *
 * @param target the target
 * @param rank position of the target in the order of preference, starting at 0
 * @param reason why the target was picked
 * @param load requests known to be at the target
 */
public record Pick(Target target, int rank, Reason reason, int load) {
    /** Tells why a target was picked. */
    public enum Reason {
        /** It is the first in the order of preference. */
        HOME,
        /** A coordinator selected it. */
        PLACED,
        /** Those preferred were over their load bound. */
        SPILL,
        /** It has the lowest load. */
        LEAST_LOADED,
        /** All candidates are over their load bound; this one has the lowest load. */
        ALL_LOADED
    }
}
