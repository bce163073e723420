package org.forkseam.direct.flow;

import org.forkseam.core.traffic.Route;

import java.util.function.BooleanSupplier;

/**
 * Counts the attempts of one request, and decides whether it may be sent once more: only if the
 * last target has certainly not run it, or if it may be repeated; the route bounds the targets, and
 * the pool's budget all repeats. Used on the event loop.
 */
final class AttemptTally {
    /** Targets chosen in vain, without a byte sent, after which a request is refused. */
    private static final int MAX_UNSENT = 4;

    private int mSent;
    private int mUnsent;
    private boolean mMayHaveRun;

    /** Returns to how many targets the request was sent. */
    int sent() {
        return mSent;
    }

    /** Returns whether a target may have run the request. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    void onSent() {
        mSent++;
    }

    /** Notes an attempt that brought no answer. */
    void onFailed(boolean mayHaveRun) {
        mMayHaveRun |= mayHaveRun;
    }

    /** Returns whether the route allows that the request is repeated at another target. */
    boolean leavesRepeats(Route route) {
        return route.kind().isRepeatable() && mSent < route.attempts();
    }

    /**
     * Returns whether the request may be sent once more.
     *
     * @param tooLate whether the caller has events that no other target can continue
     * @param budget takes a repeat from the pool's budget, if there is one left
     */
    boolean allowsAnother(AttemptEnd end, Route route, boolean tooLate, BooleanSupplier budget) {
        if (end.kind().isUnsent()) {
            return ++mUnsent < MAX_UNSENT;
        }
        if (mMayHaveRun && !route.kind().isRepeatable()) {
            return false;
        }
        return !tooLate && mSent < route.attempts() && budget.getAsBoolean();
    }
}
