package org.forkseam.core.route;

import org.forkseam.core.util.Hashes;

/**
 * Gives the weight of a target for a key by weighted rendezvous (highest random weight) hashing.
 *
 * @since 0.1
 */
public final class Rendezvous {
    private static final double UNIT = 0x1.0p-53;

    private Rendezvous() {}

    /** Returns the score; the target with the highest is the key's home. */
    public static double score(long key, long targetHash, double weight) {
        long h = Hashes.mix(key, targetHash);
        double u = ((h >>> 11) + 0.5) * UNIT;
        return -weight / Math.log(u);
    }
}
