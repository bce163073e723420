package org.forkseam.direct.flow;

import org.forkseam.core.admit.Decision;

import java.util.OptionalLong;

/**
 * Sends the final response of a request that no target answered: a refusal with a retry delay if it
 * was certainly not run, otherwise a failure. Used on the event loop.
 */
final class FailureResponder {
    /** Retry delay sent to a caller that has to request a stream from its beginning. */
    private static final long RESTART_DELAY_MILLIS = 50;

    private final RouterContext mContext;
    private final FinalResponse mResponse;
    private final AttemptTracker mAttempts;
    private final TargetSelection mTargetSelection;

    FailureResponder(
            RouterContext context,
            FinalResponse response,
            AttemptTracker attempts,
            TargetSelection targetSelection) {
        mContext = context;
        mResponse = response;
        mAttempts = attempts;
        mTargetSelection = targetSelection;
    }

    /**
     * Sends the final response.
     *
     * @param reason the reason, for the caller and the log
     * @param streaming whether part of a stream was already sent to the caller
     */
    void respond(String reason, Admission a, boolean streaming) {
        if (failIfMayHaveRun(reason, a, streaming)) {
            return;
        }
        if (reason.equals(TargetSelection.VERSION_GONE)) {
            respondNotResumable(reason);
            return;
        }
        long retryAfter = mContext.retryDelay(a.pool()).onRefused(mContext.now());
        OptionalLong availableIn = mTargetSelection.availableInMillis(a);
        if (availableIn.isPresent()) {
            mResponse.refuseUntil(reason, availableIn.getAsLong());
        } else {
            mResponse.refuse(reason, retryAfter);
        }
    }

    /**
     * Refuses to resume a stream. Waiting does not help; the caller can request the stream from its
     * beginning at once.
     */
    void respondNotResumable(String reason) {
        mResponse.refuse(reason, RESTART_DELAY_MILLIS);
    }

    /**
     * Sends the final response of a quarantined request.
     *
     * @param retryAfterMillis time until the quarantine ends
     */
    void respondQuarantined(long retryAfterMillis, Admission a, boolean streaming) {
        if (!failIfMayHaveRun("quarantined", a, streaming)) {
            mResponse.refuseQuarantined(retryAfterMillis);
        }
    }

    /** Sends the final response of a request that was not admitted to a contended pool. */
    void respondRejected(Decision.Reject rejection, Admission a, boolean streaming) {
        String reason = rejection.cause() == Decision.Cause.FULL ? "full" : "shortage";
        if (!failIfMayHaveRun(reason, a, streaming)) {
            mResponse.refuse(reason, rejection.retryAfterMillis());
        }
    }

    /** Reports a failure if the request may have run; returns false otherwise. */
    private boolean failIfMayHaveRun(String reason, Admission a, boolean streaming) {
        if (streaming) {
            mResponse.abortStream();
            return true;
        }
        if (mAttempts.mayHaveRun()) {
            mResponse.fail(reason, a.isExpired(mContext.now()));
            return true;
        }
        return false;
    }
}
