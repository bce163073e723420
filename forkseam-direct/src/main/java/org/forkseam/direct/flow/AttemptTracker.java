package org.forkseam.direct.flow;

import org.forkseam.core.traffic.Route;

import java.util.function.BooleanSupplier;

/**
 * Counts the attempts of one request and decides whether another is allowed. A retry requires that
 * no target can have run the request or that the route is retryable; it is limited by the route's
 * attempts and the pool's retry budget. Used on the event loop.
 */
final class AttemptTracker {
    /**
     * Number of attempts that failed before sending, after which the request is refused. Refused
     * connections do not count, since they cost little and each target is tried once.
     */
    private static final int MAX_UNSENT_ATTEMPTS = 4;

    private int mSentCount;
    private int mUnsentCount;
    private boolean mMayHaveRun;

    /** Returns the number of attempts in which the request was sent. */
    int sentCount() {
        return mSentCount;
    }

    /** Returns whether a target may have run the request. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    void onSent() {
        mSentCount++;
    }

    /** Records an attempt without a response. */
    void onFailed(boolean mayHaveRun) {
        mMayHaveRun |= mayHaveRun;
    }

    /** Returns whether the route allows a retry at another target. */
    boolean allowsRetry(Route route) {
        return route.kind().isRepeatable() && mSentCount < route.attempts();
    }

    /**
     * Returns whether another attempt is allowed.
     *
     * @param cannotResume whether the caller has received events that no other target can continue
     * @param budget takes one retry from the pool's budget, if available
     */
    boolean allowsNextAttempt(
            AttemptResult result, Route route, boolean cannotResume, BooleanSupplier budget) {
        if (result.kind() == AttemptResult.Kind.NOBODY_LISTENS) {
            return true;
        }
        if (result.kind().isUnsent()) {
            return ++mUnsentCount < MAX_UNSENT_ATTEMPTS;
        }
        if (mMayHaveRun && !route.kind().isRepeatable()) {
            return false;
        }
        return !cannotResume && mSentCount < route.attempts() && budget.getAsBoolean();
    }
}
