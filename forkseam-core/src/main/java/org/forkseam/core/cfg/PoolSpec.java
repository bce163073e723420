package org.forkseam.core.cfg;

import org.forkseam.core.label.Selector;

import java.time.Duration;

/**
 * Declares a pool: its targets and how load is distributed over them.
 *
 * @param name the pool's name
 * @param selector matches the labels of the pool's targets
 * @param maxLoadMultiple bound on a target's load, as a multiple of the pool's mean
 * @param prefer whether even load or reuse of cached prefixes takes precedence
 * @param queueLimit maximum number of requests queued at a target, over all teams
 * @param deadline default deadline of requests
 */
public record PoolSpec(
        String name,
        Selector selector,
        double maxLoadMultiple,
        Preference prefer,
        int queueLimit,
        Duration deadline) {
    /** Tells what placement prefers. */
    public enum Preference {
        /** Even load takes precedence. */
        SKEW,
        /** Reuse of cached prefixes takes precedence. */
        REUSE
    }
}
