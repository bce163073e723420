package org.forkseam.core.crash;

/**
 * Says that a target ended while it had a request, or that a request was answered after all.
 *
 * @param content hash of what the request asks for
 * @param crash names the target's end, alike on all routers; {@link #ANSWERED} if there was none
 * @since 0.5
 */
public record CrashFact(long content, int crash) {
    /** Stands in the place of a crash for a request that a target has answered. */
    public static final int ANSWERED = 0;

    /** Facts in a message; 12 bytes each. */
    public static final int MAX_FACTS = 30;

    /** Says that a target has answered the request. */
    public static CrashFact answered(long content) {
        return new CrashFact(content, ANSWERED);
    }

    /** Returns whether the request was answered. */
    public boolean isAnswered() {
        return crash == ANSWERED;
    }
}
