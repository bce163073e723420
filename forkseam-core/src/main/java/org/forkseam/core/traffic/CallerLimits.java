package org.forkseam.core.traffic;

/**
 * Requirements on callers' requests and connections.
 *
 * @param headerBytes maximum size of a request header
 * @param bodyBytes maximum size of a request body
 * @param headerMillis maximum time to receive a complete request header
 * @param idleMillis time after which an idle connection is closed
 * @param keyRequired whether requests need the key of a team, except on open routes; also if no
 *     team has a key
 */
public record CallerLimits(
        int headerBytes, int bodyBytes, long headerMillis, long idleMillis, boolean keyRequired) {
    /** Returns the limits that apply until a configuration is received. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4_194_304, 3_000, 15_000, false);
    }

    /** Returns these limits with or without the requirement of a key. */
    public CallerLimits withKeyRequired(boolean required) {
        return new CallerLimits(headerBytes, bodyBytes, headerMillis, idleMillis, required);
    }
}
