package org.forkseam.direct.flow;

import org.forkseam.direct.know.Quarantine;

/**
 * Checks one request against the quarantine for requests that crashed targets. Called before each
 * attempt and again right before sending, as the quarantine may change while a connection opens.
 * Used on the event loop.
 */
final class QuarantineCheck {
    private final Quarantine mQuarantine;
    private final long mContentHash;
    private boolean mTrialRequested;
    private boolean mTrialGranted;

    QuarantineCheck(Quarantine quarantine, long contentHash) {
        mQuarantine = quarantine;
        mContentHash = contentHash;
    }

    /** Returns whether the request may be sent to a target. */
    boolean maySend() {
        return mTrialGranted || mQuarantine.verdict(mContentHash) == Quarantine.Verdict.SERVE;
    }

    /** Returns whether this router may request a trial: one attempt after the quarantine period. */
    boolean canRequestTrial() {
        return !mTrialRequested && mQuarantine.verdict(mContentHash) == Quarantine.Verdict.TRY;
    }

    /** Requests a trial and runs {@code callback} when the decision is known. */
    void requestTrial(Runnable callback) {
        mTrialRequested = true;
        mQuarantine
                .requestTrial(mContentHash)
                .thenAccept(
                        granted -> {
                            mTrialGranted = granted;
                            callback.run();
                        });
    }

    /**
     * Records the result of an attempt. A trial is used up only by an attempt that the target may
     * have run; others say nothing about the request.
     */
    void onAttemptEnd(boolean mayHaveRun, boolean answered) {
        if (mTrialGranted && mayHaveRun) {
            mTrialGranted = false;
            mQuarantine.onTrialEnded(mContentHash, answered);
        }
        if (answered) {
            mQuarantine.onAnswered(mContentHash);
        }
    }

    /** Returns the time after which a refused caller may retry. */
    long retryAfterMillis() {
        return mQuarantine.retryAfterMillis(mContentHash);
    }
}
