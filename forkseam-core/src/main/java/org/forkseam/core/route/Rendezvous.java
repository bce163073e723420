package org.forkseam.core.route;

import org.forkseam.core.util.Hashes;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Computes scores for weighted rendezvous (highest random weight) hashing.
 *
 * <p>Stateless.
 *
 * @since 0.1
 */
public final class Rendezvous {
    private static final double UNIT = 0x1.0p-53;

    private Rendezvous() {}

    /**
     * Returns the members with the highest scores for a key, highest first.
     *
     * @param hash returns a member's hash
     * @param count maximum number of members returned
     */
    public static <T> List<T> highest(
            long key, Collection<T> members, ToLongFunction<T> hash, int count) {
        return members.stream()
                .map(m -> Map.entry(m, score(key, hash.applyAsLong(m), 1)))
                .sorted(Map.Entry.<T, Double>comparingByValue().reversed())
                .limit(count)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns a target's score for a key; the target with the highest score is the key's home. */
    public static double score(long key, long targetHash, double weight) {
        long h = Hashes.mix(key, targetHash);
        double u = ((h >>> 11) + 0.5) * UNIT;
        return -weight / Math.log(u);
    }
}
