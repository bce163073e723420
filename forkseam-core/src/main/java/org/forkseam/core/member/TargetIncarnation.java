package org.forkseam.core.member;

import org.forkseam.core.util.Hashes;

/**
 * Identifies one incarnation of a target. State learned about a target is bound to its incarnation,
 * since a restart loses its prompts, connections, requests and load.
 *
 * @param id the target's id
 * @param born its start time by its own clock, in milliseconds since the epoch; 0 if unknown.
 *     Compared only for equality, since clocks may step back
 * @since 0.5
 */
public record TargetIncarnation(String id, long born) {
    /** Returns a non-zero hash that identifies the incarnation in messages between routers. */
    public int shortHash() {
        int hash = (int) Hashes.mix(Hashes.of(id), born);
        return hash == 0 ? 1 : hash;
    }
}
