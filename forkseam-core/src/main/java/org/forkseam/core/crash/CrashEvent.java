package org.forkseam.core.crash;

/**
 * Report that a target crashed while it had a request, or that such a request was answered.
 *
 * @param fingerprint fingerprint of the request's content or of one part of its prompt
 * @param crashId identifies the crash, equal on all routers; {@link #ANSWERED} if a request with
 *     the fingerprint was answered
 * @since 0.5
 */
public record CrashEvent(long fingerprint, int crashId) {
    /** Crash id of an answered request. */
    public static final int ANSWERED = 0;

    /** Maximum number of events per message, at 12 bytes each. */
    public static final int MAX_PER_MESSAGE = 30;

    /** Creates the report of an answered request. */
    public static CrashEvent answered(long fingerprint) {
        return new CrashEvent(fingerprint, ANSWERED);
    }

    /** Returns whether the request was answered. */
    public boolean isAnswered() {
        return crashId == ANSWERED;
    }
}
