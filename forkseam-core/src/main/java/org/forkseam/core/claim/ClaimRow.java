package org.forkseam.core.claim;

/**
 * Holds what the table service keeps of one unrepeatable request.
 *
 * @param state how far the request has come, as far as was written
 * @param owner the target whose sidecar holds the claim
 * @param incarnation of that sidecar
 * @param nonce drawn for each try to claim, so that a lost answer can be settled by reading back
 * @param fingerprint identifies the request's content
 * @param answer for DONE the whole answer, or empty if it was too large to keep
 * @param atMillis when it was claimed, by the owner's clock: for sweeping, never for taking over
 */
public record ClaimRow(
        State state,
        String owner,
        long incarnation,
        String nonce,
        String fingerprint,
        String answer,
        long atMillis) {
    /** Says how far a claimed request has come. */
    public enum State {
        /** The owner may hand the request over, or has done so. */
        CLAIMED,
        /** The owner says that it never handed the request over and never will. */
        ABANDONED,
        /** The request ran and its answer is known. */
        DONE
    }

    /** How long a claim is kept, and how late a caller may still repeat its request. */
    public static final long RETENTION_MILLIS = 24 * 3_600_000L;

    /** Returns the row after another state was reached. */
    public ClaimRow withState(State state, String answer) {
        return new ClaimRow(state, owner, incarnation, nonce, fingerprint, answer, atMillis);
    }
}
