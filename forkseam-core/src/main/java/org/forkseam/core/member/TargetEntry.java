package org.forkseam.core.member;

import org.forkseam.core.util.Hashes;

/**
 * Registration entry of a target. A restarted target has a new id, or the same id and another start
 * time.
 *
 * @param id the target's id
 * @param pool the pool it serves
 * @param address where it listens, IP:PORT
 * @param domain its failure domain
 * @param slots number of requests it serves concurrently
 * @param leaving whether it accepts no new requests
 * @param coldMillis remaining cold period as last reported; 0 if it is not cold
 * @param born its start time by its own clock, in milliseconds since the epoch; 0 if unknown
 * @param version version of its software; empty if unknown
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
        long born,
        String version) {

    /** Creates an entry without a software version. */
    public TargetEntry(
            String id,
            String pool,
            String address,
            String domain,
            int slots,
            boolean leaving,
            long coldMillis,
            long born) {
        this(id, pool, address, domain, slots, leaving, coldMillis, born, "");
    }

    /** Creates an entry without a start time and software version. */
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

    /** Returns a copy marked as leaving. */
    public TargetEntry withLeaving() {
        return new TargetEntry(id, pool, address, domain, slots, true, coldMillis, born, version);
    }

    /** Returns the incarnation that this entry describes. */
    public TargetIncarnation incarnation() {
        return new TargetIncarnation(id, born);
    }

    /**
     * Returns a hash of pool and software version. Only targets with equal keys can continue each
     * other's streams or use each other's caches.
     */
    public long softwareKey() {
        return Hashes.mix(Hashes.of(pool), Hashes.of(version));
    }

    /**
     * Returns a hash of all fields. Of the cold period only whether there is one is included, since
     * it decreases with each heartbeat.
     *
     * <p>Does not use {@code toString()}, whose first call on a record takes about 20 ms of
     * processor time at each start.
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
                        + born
                        + '|'
                        + version);
    }
}
