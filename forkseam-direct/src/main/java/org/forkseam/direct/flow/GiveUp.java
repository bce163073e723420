package org.forkseam.direct.flow;

import java.util.OptionalLong;

/**
 * Ends a request that no target will answer: as refused if it has certainly not run, with the time
 * to come back after, and else as failed. Used on the event loop.
 */
final class GiveUp {
    private final RouterContext mContext;
    private final FinalAnswer mFinal;
    private final AttemptTally mTally;
    private final RequestPlacement mPlacement;

    GiveUp(
            RouterContext context,
            FinalAnswer answer,
            AttemptTally tally,
            RequestPlacement placement) {
        mContext = context;
        mFinal = answer;
        mTally = tally;
        mPlacement = placement;
    }

    /**
     * Ends a request.
     *
     * @param why the reason, for the caller and the log
     * @param begun whether the caller has got a part of a stream
     */
    void end(String why, Admission a, boolean begun) {
        if (failIfBegun(why, a, begun)) {
            return;
        }
        long backIn = mContext.comeBack(a.pool()).onRefused(mContext.now());
        OptionalLong freeIn = mPlacement.freeAgainIn(a);
        if (freeIn.isPresent()) {
            mFinal.refuseBefore(why, freeIn.getAsLong());
        } else {
            mFinal.refuse(why, backIn);
        }
    }

    /**
     * Ends a request under which targets end.
     *
     * @param backInMillis when its term is over
     */
    void endQuarantined(long backInMillis, Admission a, boolean begun) {
        if (!failIfBegun("quarantined", a, begun)) {
            mFinal.refuseQuarantined(backInMillis);
        }
    }

    /** Ends a request that may have run, or returns false if it has certainly not. */
    private boolean failIfBegun(String why, Admission a, boolean begun) {
        if (begun) {
            mFinal.breakOff();
            return true;
        }
        if (mTally.mayHaveRun()) {
            mFinal.fail(why, a.isOver(mContext.now()));
            return true;
        }
        return false;
    }
}
