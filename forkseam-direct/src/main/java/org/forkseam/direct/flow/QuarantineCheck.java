package org.forkseam.direct.flow;

import org.forkseam.direct.know.Quarantine;

/**
 * Keeps one request from targets if targets have ended under what it asks for. Asked before each
 * attempt and again right before sending: the news may come while a connection opens. Used on the
 * event loop.
 */
final class QuarantineCheck {
    private final Quarantine mQuarantine;
    private final long mContent;
    private boolean mAsked;
    private boolean mTrial;

    QuarantineCheck(Quarantine quarantine, long content) {
        mQuarantine = quarantine;
        mContent = content;
    }

    /** Returns whether a target may get the request. */
    boolean maySend() {
        return mTrial || mQuarantine.verdict(mContent) == Quarantine.Verdict.SERVE;
    }

    /** Returns whether this router may ask to send the request once, its term being over. */
    boolean mayAsk() {
        return !mAsked && mQuarantine.verdict(mContent) == Quarantine.Verdict.TRY;
    }

    /** Asks for that, and runs a task once it is known. */
    void ask(Runnable then) {
        mAsked = true;
        mQuarantine
                .requestTrial(mContent)
                .thenAccept(
                        granted -> {
                            mTrial = granted;
                            then.run();
                        });
    }

    /**
     * Notes how an attempt ended. A trial is one attempt that a target may have run: one that found
     * its target gone or full says nothing of the request, and another target gets it.
     */
    void onAttemptEnd(boolean mayHaveRun, boolean answered) {
        if (mTrial && mayHaveRun) {
            mTrial = false;
            mQuarantine.onTrialEnded(mContent, answered);
        }
        if (answered) {
            mQuarantine.onAnswered(mContent);
        }
    }

    /** Returns after how many milliseconds a refused caller should come back. */
    long backInMillis() {
        return mQuarantine.retryAfterMillis(mContent);
    }
}
