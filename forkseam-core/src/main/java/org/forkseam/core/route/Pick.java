package org.forkseam.core.route;

import org.forkseam.core.member.Target;

/**
 * Names the target chosen for a request, and why.
 *
 * @param target the choice
 * @param rank place in the order of preference, 0 the first
 * @param reason what decided
 * @param load requests the target holds as far as known
 */
public record Pick(Target target, int rank, Reason reason, int load) {
    /** Says what decided a choice. */
    public enum Reason {
        /** The first in the order of preference could take it. */
        HOME,
        /** Those before were over the bound on load. */
        SPILL,
        /** It held the fewest requests. */
        LEAST_LOADED,
        /** All healthy ones were over their bound. */
        ALL_LOADED
    }
}
