package org.forkseam.core.crash;

/**
 * Report that a target crashed while it had a request, or that the request was answered.
 *
 * @param content hash of the request's content
 * @param crashId identifies the crash, equal on all routers; {@link #ANSWERED} if the request was
 *     answered
 * @since 0.5
 */
public record CrashEvent(long content, int crashId) {
    /** Crash id of an answered request. */
    public static final int ANSWERED = 0;

    /** Maximum number of events per message, at 12 bytes each. */
    public static final int MAX_PER_MESSAGE = 30;

    /** Creates the report of an answered request. */
    public static CrashEvent answered(long content) {
        return new CrashEvent(content, ANSWERED);
    }

    /** Returns whether the request was answered. */
    public boolean isAnswered() {
        return crashId == ANSWERED;
    }
}
