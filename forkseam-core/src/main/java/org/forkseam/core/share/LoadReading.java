package org.forkseam.core.share;

/**
 * Holds what a target told of its load, as one router tells it to another.
 *
 * @param target low bits of the hash of the target's id
 * @param load requests that it ran and that waited there, of all routers
 * @param ageMillis time since it told so
 * @since 0.4
 */
public record LoadReading(int target, int load, int ageMillis) {}
