package org.forkseam.core.share;

/**
 * Says that a target has read the prompt of a key.
 *
 * @param key hash of the key
 * @param target low bits of the hash of the target's id
 * @since 0.4
 */
public record HolderFact(long key, int target) {}
