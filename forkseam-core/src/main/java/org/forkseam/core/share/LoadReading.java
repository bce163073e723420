package org.forkseam.core.share;

/**
 * Holds the load reported by a target, as sent from one router to another.
 *
 * @param target low bits of the hash of the target's id
 * @param load requests of all routers that were running or queued at the target
 * @param ageMillis time since the target reported the load
 * @since 0.4
 */
public record LoadReading(int target, int load, int ageMillis) {}
