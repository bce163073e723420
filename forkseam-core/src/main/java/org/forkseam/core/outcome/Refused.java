package org.forkseam.core.outcome;

/**
 * Holds the final word on an attempt that gave no answer.
 *
 * @param kind whether it ran
 * @param reason why there is no answer
 * @param retryAfterMillis when to come back; 0 if that would not help
 * @param owner for CLAIMED_ELSEWHERE the target that holds the claim, else empty
 * @param detail more on the reason, for the operators
 */
public record Refused(
        OutcomeKind kind,
        RefusalReason reason,
        long retryAfterMillis,
        String owner,
        String detail) {

    /** Creates a refusal that certainly did not run. */
    public static Refused notRun(RefusalReason reason, long retryAfterMillis) {
        return new Refused(OutcomeKind.NOT_RUN, reason, retryAfterMillis, "", "");
    }

    /** Creates the outcome of an attempt whose end is not known. */
    public static Refused mayHaveRun(RefusalReason reason) {
        return new Refused(OutcomeKind.MAY_HAVE_RUN, reason, 0, "", "");
    }

    /** Creates the outcome of an attempt that ran and broke. */
    public static Refused failed(RefusalReason reason, String detail) {
        return new Refused(OutcomeKind.FAILED, reason, 0, "", detail);
    }

    /** Returns a copy with more on the reason. */
    public Refused withDetail(String detail) {
        return new Refused(kind, reason, retryAfterMillis, owner, detail);
    }

    /** Returns a copy that names the target which holds the claim. */
    public Refused withOwner(String owner) {
        return new Refused(kind, reason, retryAfterMillis, owner, detail);
    }
}
