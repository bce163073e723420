package org.forkseam.direct.flow;

import java.util.OptionalLong;

/**
 * Ends a request that no target will answer: as refused if it has certainly not run, with the time
 * to come back after, and else as failed. Used on the event loop.
 */
final class FailureResponder {
    private final RouterContext mContext;
    private final FinalResponse mResponse;
    private final AttemptTracker mAttempts;
    private final TargetSelection mTargetSelection;

    FailureResponder(
            RouterContext context,
            FinalResponse answer,
            AttemptTracker tally,
            TargetSelection placement) {
        mContext = context;
        mResponse = answer;
        mAttempts = tally;
        mTargetSelection = placement;
    }

    /**
     * Ends a request.
     *
     * @param why the reason, for the caller and the log
     * @param begun whether the caller has got a part of a stream
     */
    void respond(String why, Admission a, boolean begun) {
        if (failIfMayHaveRun(why, a, begun)) {
            return;
        }
        long backIn = mContext.comeBack(a.pool()).onRefused(mContext.now());
        OptionalLong freeIn = mTargetSelection.availableInMillis(a);
        if (freeIn.isPresent()) {
            mResponse.refuseUntil(why, freeIn.getAsLong());
        } else {
            mResponse.refuse(why, backIn);
        }
    }

    /**
     * Ends a request under which targets end.
     *
     * @param backInMillis when its term is over
     */
    void respondQuarantined(long backInMillis, Admission a, boolean begun) {
        if (!failIfMayHaveRun("quarantined", a, begun)) {
            mResponse.refuseQuarantined(backInMillis);
        }
    }

    /** Ends a request that may have run, or returns false if it has certainly not. */
    private boolean failIfMayHaveRun(String why, Admission a, boolean begun) {
        if (begun) {
            mResponse.abortStream();
            return true;
        }
        if (mAttempts.mayHaveRun()) {
            mResponse.fail(why, a.isExpired(mContext.now()));
            return true;
        }
        return false;
    }
}
