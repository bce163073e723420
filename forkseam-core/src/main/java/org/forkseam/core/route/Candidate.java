package org.forkseam.core.route;

/**
 * Holds a target that may serve a request, with the parts of its score.
 *
 * @param target the target
 * @param score ranks candidates; higher is better
 * @param savedTokens prompt tokens expected to be cached at the target
 * @param load the target's estimated load
 * @param limit the highest load allowed by the pool's bound
 * @param reason why the target is a candidate
 */
public record Candidate(
        TargetView target, double score, double savedTokens, int load, int limit, Reason reason) {
    /** Tells why a target is a candidate. */
    public enum Reason {
        /** The request's ticket names it. */
        TICKET,
        /** It is one of the chat's homes by hash. */
        HOME,
        /** It recently served the prompt's shared prefix. */
        SHARED_PREFIX,
        /** It was sampled at random for its load. */
        LOW_LOAD,
        /** The placement does not score candidates. */
        UNSCORED
    }

    /** Returns whether one more request keeps the target within its limit. */
    public boolean hasCapacity() {
        return load + 1 <= limit;
    }
}
