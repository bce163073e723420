package org.forkseam.core.outcome;

/**
 * Decides whether a retry is provably safe.
 *
 * <p>A retry is safe if the request was not sent to the target, or if the request may be repeated
 * and no part of a response was passed to the caller. Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class RetryPolicy {
    private RetryPolicy() {}

    /**
     * Returns whether a request may be retried after a failed attempt.
     *
     * @param failure result of the last attempt
     * @param unrepeatable whether the caller marked the request as unrepeatable
     * @param responseStarted whether any part of a response was passed to the caller
     */
    public static boolean maySafelyRetry(
            AttemptFailure failure, boolean unrepeatable, boolean responseStarted) {
        if (responseStarted || isFinal(failure.reason())) {
            return false;
        }
        return failure.kind() == OutcomeKind.NOT_RUN || !unrepeatable;
    }

    /**
     * Returns whether a retry after this result counts against the retry budget. Refusals by a full
     * target do not.
     */
    public static boolean spendsBudget(AttemptFailure failure) {
        return failure.kind() != OutcomeKind.NOT_RUN || failure.reason().isFailure();
    }

    private static boolean isFinal(RefusalReason reason) {
        return switch (reason) {
            case CANCELLED, DEADLINE, STORE_DOWN, ID_REUSED, TOO_OLD, NOT_KEPT, FAIR_SHARE -> true;
            default -> false;
        };
    }
}
