package org.forkseam.core.member;

import org.forkseam.core.util.Hashes;

/**
 * Holds what a target has recorded of itself. A restarted target has a new id, or the same id and a
 * later start.
 *
 * @param id names the target
 * @param pool the pool it serves
 * @param address where it listens, IP:PORT
 * @param domain its failure domain
 * @param slots requests it works on at a time
 * @param leaving whether it takes no new work
 * @param coldMillis for how long it stays cold, as of its last word; 0 if it is not
 * @param born when it started, by its own time of day in milliseconds since the epoch; 0 if it does
 *     not tell
 * @since 0.2
 */
public record TargetEntry(
        String id,
        String pool,
        String address,
        String domain,
        int slots,
        boolean leaving,
        long coldMillis,
        long born) {

    /** Creates the entry of a target that does not tell when it started. */
    public TargetEntry(
            String id,
            String pool,
            String address,
            String domain,
            int slots,
            boolean leaving,
            long coldMillis) {
        this(id, pool, address, domain, slots, leaving, coldMillis, 0);
    }

    /** Returns the entry of the same target as one that leaves. */
    public TargetEntry withLeaving() {
        return new TargetEntry(id, pool, address, domain, slots, true, coldMillis, born);
    }

    /** Returns which start of the target it is the entry of. */
    public TargetStart start() {
        return new TargetStart(id, born);
    }

    /**
     * Returns a hash of all fields, of the cold time only whether there is any: it runs off by
     * itself, and a target tells it anew with each heartbeat, which is no news.
     *
     * <p>The record's own text would do for the others, but its first use costs some 20 ms of
     * processor, at every start.
     */
    public long fingerprint() {
        return Hashes.of(
                id
                        + '|'
                        + pool
                        + '|'
                        + address
                        + '|'
                        + domain
                        + '|'
                        + slots
                        + '|'
                        + leaving
                        + '|'
                        + (coldMillis > 0)
                        + '|'
                        + born);
    }
}
