package org.forkseam.core.outcome;

/**
 * Decides whether another attempt is provably safe.
 *
 * <p>Only two cases are: nothing was handed to the target, or the request may be repeated and its
 * caller has seen no part of an answer. Pure and stateless.
 *
 * @since 0.1
 */
public final class RetryPolicy {
    private RetryPolicy() {}

    /**
     * Returns whether a request may be tried again after this outcome.
     *
     * @param refused the last attempt's outcome
     * @param unrepeatable whether the caller marked the request as unrepeatable
     * @param shown whether any part of the answer went to the caller
     */
    public static boolean maySafelyRetry(Refused refused, boolean unrepeatable, boolean shown) {
        if (shown || isFinal(refused.reason())) {
            return false;
        }
        return refused.kind() == OutcomeKind.NOT_RUN || !unrepeatable;
    }

    /** Returns whether the outcome spends the retry budget: a full target's word costs nothing. */
    public static boolean spendsBudget(Refused refused) {
        return refused.kind() != OutcomeKind.NOT_RUN || refused.reason().isFailure();
    }

    private static boolean isFinal(RefusalReason reason) {
        return switch (reason) {
            case CANCELLED, DEADLINE, STORE_DOWN, ID_REUSED, TOO_OLD, NOT_KEPT, FAIR_SHARE -> true;
            default -> false;
        };
    }
}
