package org.forkseam.core.traffic;

/**
 * Limits on callers' requests and connections.
 *
 * @param headerBytes maximum size of a request header
 * @param bodyBytes maximum size of a request body
 * @param headerMillis maximum time to receive a complete request header
 * @param idleMillis time after which an idle connection is closed
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Returns the limits that apply until a configuration is received. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
    }
}
