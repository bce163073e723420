package org.forkseam.direct.flow;

import org.forkseam.core.traffic.Route;

import java.util.function.BooleanSupplier;

/**
 * Counts the attempts of one request, and decides whether it may be sent once more: only if the
 * last target has certainly not run it, or if it may be repeated; the route bounds the targets, and
 * the pool's budget all repeats. Used on the event loop.
 */
final class AttemptTracker {
    /** Targets chosen in vain, without a byte sent, after which a request is refused. */
    private static final int MAX_UNSENT_ATTEMPTS = 4;

    private int mSentCount;
    private int mUnsentCount;
    private boolean mMayHaveRun;

    /** Returns to how many targets the request was sent. */
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

    /** Notes an attempt that brought no answer. */
    void onFailed(boolean mayHaveRun) {
        mMayHaveRun |= mayHaveRun;
    }

    /** Returns whether the route allows that the request is repeated at another target. */
    boolean allowsRetry(Route route) {
        return route.kind().isRepeatable() && mSentCount < route.attempts();
    }

    /**
     * Returns whether the request may be sent once more.
     *
     * @param tooLate whether the caller has events that no other target can continue
     * @param budget takes a repeat from the pool's budget, if there is one left
     */
    boolean allowsNextAttempt(
            AttemptResult end, Route route, boolean tooLate, BooleanSupplier budget) {
        if (end.kind().isUnsent()) {
            return ++mUnsentCount < MAX_UNSENT_ATTEMPTS;
        }
        if (mMayHaveRun && !route.kind().isRepeatable()) {
            return false;
        }
        return !tooLate && mSentCount < route.attempts() && budget.getAsBoolean();
    }
}
