package org.forkseam.core.store;

/**
 * Is a point in the history of the platform's store.
 *
 * <p>The store counts its changes by revisions. If it comes back from an older copy, revisions go
 * back and are given out again; the store then counts its era up. So a revision alone orders
 * nothing: a position of a later era is newer, whatever the revisions. Immutable.
 *
 * @param era how often the store has come back from a copy; 0 if it does not tell
 * @param revision the store's count of changes, which may go back where the era rises
 * @since 0.7
 */
public record StorePosition(int era, long revision) implements Comparable<StorePosition> {
    /** Is older than whatever has been read. */
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

    /** Returns whether this is older than another. */
    public boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }

    /** Returns whether this is newer than another. */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns whether the store has come back from a copy between another position and this. */
    public boolean isOfLaterEraThan(StorePosition other) {
        return era > other.era;
    }

    /** Returns whether the store has come back since it was last read, at a position or never. */
    public boolean isReturnSince(StorePosition known) {
        return isOfLaterEraThan(known) && !known.equals(NONE);
    }

    /** Returns whether revisions of both count the same changes. */
    public boolean isOfEraOf(StorePosition other) {
        return era == other.era;
    }

    /** Returns the newer of two positions. */
    public static StorePosition newer(StorePosition a, StorePosition b) {
        return a.isBefore(b) ? b : a;
    }

    /** Returns the position as operators read it: {@code era.revision}. */
    @Override
    public String toString() {
        return era + "." + revision;
    }
}
