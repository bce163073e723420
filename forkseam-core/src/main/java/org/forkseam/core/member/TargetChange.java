package org.forkseam.core.member;

/**
 * Change in the list of targets.
 *
 * @param entry the target's newest entry
 * @param kind the kind of change
 */
public record TargetChange(TargetEntry entry, Kind kind) {
    /** Kinds of changes. */
    public enum Kind {
        /** Newly listed. */
        JOINED,
        /** Restarted under the same id, without any of its former state. */
        RESTARTED,
        /** Accepts no new requests from now on. */
        LEAVING,
        /** No longer listed. */
        GONE
    }
}
