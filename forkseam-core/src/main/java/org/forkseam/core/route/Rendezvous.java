package org.forkseam.core.route;

import org.forkseam.core.util.Hashes;

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

    /** Returns a target's score for a key; the target with the highest score is the key's home. */
    public static double score(long key, long targetHash, double weight) {
        long h = Hashes.mix(key, targetHash);
        double u = ((h >>> 11) + 0.5) * UNIT;
        return -weight / Math.log(u);
    }
}
