package org.forkseam.core.member;

import org.forkseam.core.util.Hashes;

/**
 * Names one start of a target. A target that has started again under its id holds nothing of
 * before: no prompts, no connections, no requests, no load. Whatever is learned of a target is kept
 * by its start, so that it ends with it.
 *
 * @param id the target's
 * @param born when it started, by its own time of day in milliseconds since the epoch; 0 if it does
 *     not tell. Only whether it differs counts: clocks step back, so that a later start may have a
 *     smaller number
 * @since 0.5
 */
public record TargetStart(String id, long born) {
    /** Returns the name by which routers tell each other of it: alike on all, never 0. */
    public int shortHash() {
        int hash = (int) Hashes.mix(Hashes.of(id), born);
        return hash == 0 ? 1 : hash;
    }
}
