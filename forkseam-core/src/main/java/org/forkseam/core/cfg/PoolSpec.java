package org.forkseam.core.cfg;

import org.forkseam.core.label.Selector;

import java.time.Duration;

/**
 * Declares a pool: the targets that a selector finds, and how load is spread over them.
 *
 * @param name the pool's name
 * @param selector chooses the pool's targets by their labels
 * @param maxLoadMultiple no target takes a request that puts it above this multiple of the mean
 * @param prefer what goes first when cached prefixes and even load disagree
 * @param queueLimit requests that may wait at one target, over all teams
 * @param deadline used for requests that bring none
 */
public record PoolSpec(
        String name,
        Selector selector,
        double maxLoadMultiple,
        Preference prefer,
        int queueLimit,
        Duration deadline) {
    /** Says what a pool's placement weighs most. */
    public enum Preference {
        /** Even load goes first. */
        SKEW,
        /** Cached prefixes go first. */
        REUSE
    }
}
