package org.forkseam.core.traffic;

/**
 * Limit on the request rate of a pool's targets while they are cold, e.g. after a start.
 *
 * @param millis length of the cold period
 * @param perSecond maximum requests per second to a cold target; 0 for no limit
 * @since 0.5
 */
public record ColdStart(long millis, double perSecond) {
    /** Declaration of a pool without cold period. */
    public static final ColdStart NONE = new ColdStart(0, 0);

    /** Returns whether the request rate of cold targets is limited. */
    public boolean hasLimit() {
        return perSecond > 0;
    }
}
