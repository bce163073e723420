package org.forkseam.core.store;

/**
 * Is a moment by the store's steady clock, which may start anew when the store comes back from an
 * older copy. Immutable.
 *
 * @param era how often the store had come back by then; 0 if it does not tell
 * @param millis by the clock of that era
 * @since 0.7
 */
public record StoreTime(int era, long millis) implements Comparable<StoreTime> {
    /** Is before all others. */
    public static final StoreTime NEVER = new StoreTime(0, Long.MIN_VALUE);

    /** Creates a moment. */
    public static StoreTime of(int era, long millis) {
        return new StoreTime(era, millis);
    }

    @Override
    public int compareTo(StoreTime other) {
        int byEra = Integer.compare(era, other.era);
        return byEra != 0 ? byEra : Long.compare(millis, other.millis);
    }

    /** Returns whether this is later than another moment. */
    public boolean isAfter(StoreTime other) {
        return compareTo(other) > 0;
    }
}
