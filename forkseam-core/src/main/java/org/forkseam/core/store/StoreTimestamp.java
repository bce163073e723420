package org.forkseam.core.store;

/**
 * Timestamp by the store's monotonic clock, which may be reset by a restore from a backup.
 * Immutable.
 *
 * @param era number of restores; 0 if the store does not report it
 * @param millis clock reading within that era
 * @since 0.7
 */
public record StoreTimestamp(int era, long millis) implements Comparable<StoreTimestamp> {
    /** Timestamp before all others. */
    public static final StoreTimestamp NEVER = new StoreTimestamp(0, Long.MIN_VALUE);

    /** Creates a timestamp. */
    public static StoreTimestamp of(int era, long millis) {
        return new StoreTimestamp(era, millis);
    }

    @Override
    public int compareTo(StoreTimestamp other) {
        int byEra = Integer.compare(era, other.era);
        return byEra != 0 ? byEra : Long.compare(millis, other.millis);
    }

    /** Returns whether this timestamp is later than another. */
    public boolean isAfter(StoreTimestamp other) {
        return compareTo(other) > 0;
    }
}
