package org.forkseam.core.outcome;

/**
 * Result of an attempt that yielded no complete response.
 *
 * @param kind whether the request ran
 * @param reason why there is no response
 * @param retryAfterMillis delay before a retry; 0 if a retry would not help
 * @param owner for CLAIMED_ELSEWHERE the target that holds the claim, else empty
 * @param detail diagnostic details for operators
 */
public record AttemptFailure(
        OutcomeKind kind,
        RefusalReason reason,
        long retryAfterMillis,
        String owner,
        String detail) {

    /** Creates the result of an attempt that certainly did not run. */
    public static AttemptFailure notRun(RefusalReason reason, long retryAfterMillis) {
        return new AttemptFailure(OutcomeKind.NOT_RUN, reason, retryAfterMillis, "", "");
    }

    /** Creates the result of an attempt that may have run. */
    public static AttemptFailure mayHaveRun(RefusalReason reason) {
        return new AttemptFailure(OutcomeKind.MAY_HAVE_RUN, reason, 0, "", "");
    }

    /** Creates the result of an attempt that ran and failed. */
    public static AttemptFailure failed(RefusalReason reason, String detail) {
        return new AttemptFailure(OutcomeKind.FAILED, reason, 0, "", detail);
    }

    /** Returns a copy with diagnostic details. */
    public AttemptFailure withDetail(String detail) {
        return new AttemptFailure(kind, reason, retryAfterMillis, owner, detail);
    }

    /** Returns a copy that names the target holding the claim. */
    public AttemptFailure withOwner(String owner) {
        return new AttemptFailure(kind, reason, retryAfterMillis, owner, detail);
    }
}
