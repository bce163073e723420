package org.forkseam.core.route;

/**
 * Holds one target that may serve a request, with its score in parts.
 *
 * @param target the target
 * @param score higher goes first
 * @param savedTokens prompt tokens expected to be cached there
 * @param load the load reckoned with
 * @param limit the most it may carry by the pool's bound
 * @param why what made it a candidate
 */
public record Candidate(
        TargetView target, double score, double savedTokens, int load, int limit, Why why) {
    /** Says what made a target a candidate. */
    public enum Why {
        /** The chat's ticket names it. */
        TICKET,
        /** The chat's home by hash, or one of the next. */
        HOME,
        /** It holds the prompt's shared beginning. */
        SHARED_PREFIX,
        /** It was drawn for its low load. */
        LOW_LOAD,
        /** The placement does not score. */
        UNSCORED
    }

    /** Returns whether the target can take the request by what this router knows. */
    public boolean hasRoom() {
        return load + 1 <= limit;
    }
}
