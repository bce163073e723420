package org.forkseam.core.traffic;

/**
 * Bounds what callers may send and how long they may take.
 *
 * @param headerBytes greatest request head
 * @param bodyBytes greatest request body
 * @param headerMillis longest time from the first byte of a head to its last
 * @param idleMillis how long an unused connection is kept
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Returns the limits used until a configuration brings some. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
    }
}
