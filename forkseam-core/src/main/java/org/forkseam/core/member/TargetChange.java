package org.forkseam.core.member;

/**
 * Tells of one change in the list of targets.
 *
 * @param entry the target's newest entry
 * @param kind what happened to it
 */
public record TargetChange(TargetEntry entry, Kind kind) {
    /** Says what happened to a target. */
    public enum Kind {
        /** It was not listed before. */
        JOINED,
        /** It has started again under its id, and holds nothing of before. */
        RESTARTED,
        /** It takes no new work from now on. */
        LEAVING,
        /** It is not listed any more. */
        GONE
    }
}
