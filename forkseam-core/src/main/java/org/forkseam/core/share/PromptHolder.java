package org.forkseam.core.share;

/**
 * Reports that a target other than the key's home has a key's prompt in its cache.
 *
 * <p>After crashes, and when targets join or are saturated, keys are temporarily served away from
 * their home. Without these reports, other routers would copy the prompt from a target that does
 * not have it, or prefill it again.
 *
 * @param key hash of the key
 * @param target hash that identifies the start of the target
 * @since 0.4
 */
public record PromptHolder(long key, int target) {
    /** Limit of reports in a message, of 12 bytes each. */
    public static final int MAX_PER_MESSAGE = 40;
}
