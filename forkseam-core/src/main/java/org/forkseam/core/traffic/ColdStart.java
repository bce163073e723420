package org.forkseam.core.traffic;

/**
 * Declares what the targets of a pool bear while they are cold, after a start for instance.
 *
 * @param millis for how long a target stays cold
 * @param perSecond requests that a cold target bears within a second; 0 for any number
 * @since 0.5
 */
public record ColdStart(long millis, double perSecond) {
    /** Is the declaration of a pool whose targets are never cold. */
    public static final ColdStart NONE = new ColdStart(0, 0);

    /** Returns whether cold targets bear less than others. */
    public boolean limits() {
        return perSecond > 0;
    }
}
