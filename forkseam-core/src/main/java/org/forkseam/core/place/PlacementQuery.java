package org.forkseam.core.place;

/**
 * Asks the coordinator of a group which engine is to process a prompt.
 *
 * @param id identifies the placement
 * @param pool the engines' pool
 * @param key hash of the last shared part, by which engines are preferred
 * @param headKey hash of the first shared part
 * @param headTokens length of the first shared part in tokens
 * @param sharedTokens length of all shared parts in tokens
 * @param promptTokens length of the whole prompt in tokens
 * @param home short hash of the first engine in the key's order of preference
 * @since 0.8
 */
public record PlacementQuery(
        long id,
        String pool,
        long key,
        long headKey,
        int headTokens,
        int sharedTokens,
        int promptTokens,
        int home) {
    /** Returns whether the lengths are possible. */
    public boolean isValid() {
        return headTokens >= 0 && sharedTokens >= headTokens && promptTokens >= sharedTokens;
    }
}
