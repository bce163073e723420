package org.forkseam.core.claim;

/**
 * Claim on an unrepeatable request, as stored in the table service.
 *
 * @param state last recorded state of the request
 * @param owner target whose sidecar holds the claim
 * @param incarnation incarnation of that sidecar
 * @param nonce unique for each claim attempt, so that a write with an unknown result can be
 *     resolved by reading the row
 * @param fingerprint identifies the request's content
 * @param answer for DONE the complete response, or empty if it is too large to store
 * @param atMillis time of the claim by the owner's clock; used for retention, never for takeover
 */
public record ClaimRow(
        State state,
        String owner,
        long incarnation,
        String nonce,
        String fingerprint,
        String answer,
        long atMillis) {
    /** State of a claimed request. */
    public enum State {
        /** The owner has sent the request to its target, or may do so. */
        CLAIMED,
        /** The owner did not and never will send the request to its target. */
        ABANDONED,
        /** The request ran and its response is known. */
        DONE
    }

    /** Retention time of claims, and the time within which a caller may repeat a request. */
    public static final long RETENTION_MILLIS = 24 * 3_600_000L;

    /** Returns a copy with the given state and response. */
    public ClaimRow withState(State state, String answer) {
        return new ClaimRow(state, owner, incarnation, nonce, fingerprint, answer, atMillis);
    }
}
