package org.forkseam.core.store;

/**
 * Position in the change history of the platform's store.
 *
 * <p>The store numbers its changes by revision. A restore from a backup resets the revision and
 * increments the era, so that positions are ordered by era first. Immutable.
 *
 * @param era number of restores; 0 if the store does not report it
 * @param revision change counter, which restarts from a lower value in a new era
 * @since 0.7
 */
public record StorePosition(int era, long revision) implements Comparable<StorePosition> {
    /** Position before all others. */
    public static final StorePosition NONE = new StorePosition(0, -1);

    /** Creates a position. */
    public static StorePosition of(int era, long revision) {
        return new StorePosition(era, revision);
    }

    @Override
    public int compareTo(StorePosition other) {
        int byEra = Integer.compare(era, other.era);
        return byEra != 0 ? byEra : Long.compare(revision, other.revision);
    }

    /** Returns whether this position is older than another. */
    public boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }

    /** Returns whether this position is newer than another. */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns whether this position is of a later era than another. */
    public boolean isLaterEraThan(StorePosition other) {
        return era > other.era;
    }

    /** Returns whether the store was restored since the given position; false for {@link #NONE}. */
    public boolean isRestoreSince(StorePosition known) {
        return isLaterEraThan(known) && !known.equals(NONE);
    }

    /** Returns whether the revisions of both positions are comparable. */
    public boolean isSameEraAs(StorePosition other) {
        return era == other.era;
    }

    /** Returns the newer of two positions. */
    public static StorePosition newer(StorePosition a, StorePosition b) {
        return a.isBefore(b) ? b : a;
    }

    /** Returns {@code era.revision}. */
    @Override
    public String toString() {
        return era + "." + revision;
    }
}
