package org.forkseam.core.route;

import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Holds which target sits on which seat of a pool. Keys belong to seats, not to targets, so a new
 * target that takes the seat of a leaving one takes its keys and no others. Immutable.
 *
 * @since 0.2
 */
public final class SeatTable {
    /** Keeps the hashes of seats apart from those of small numbers elsewhere. */
    private static final long SEAT_SALT = 0x5EA7L;

    private static final SeatTable EMPTY = new SeatTable(List.of());

    private final List<String> mHolders;
    private final Set<String> mHolderSet;

    private SeatTable(List<String> holders) {
        mHolders = List.copyOf(holders);
        mHolderSet = new HashSet<>(holders);
    }

    /** Creates a table; the place in the list is the seat's number. */
    public static SeatTable of(List<String> holders) {
        return holders.isEmpty() ? EMPTY : new SeatTable(holders);
    }

    /** Returns a table without seats. */
    public static SeatTable empty() {
        return EMPTY;
    }

    /** Returns the ids of the targets by seat. */
    public List<String> holders() {
        return mHolders;
    }

    /** Returns whether a target has a seat. */
    public boolean holds(String targetId) {
        return mHolderSet.contains(targetId);
    }

    /** Returns a table in which a seat has another holder. */
    public SeatTable withHolder(int seat, String targetId) {
        List<String> h = new ArrayList<>(mHolders);
        h.set(seat, targetId);
        return of(h);
    }

    /** Returns a table with one more seat. */
    public SeatTable withSeat(String targetId) {
        List<String> h = new ArrayList<>(mHolders);
        h.add(targetId);
        return of(h);
    }

    /** Returns the holders in the order in which a key prefers them. */
    public List<String> order(long keyHash) {
        List<Scored> scored = new ArrayList<>(mHolders.size());
        for (int i = 0; i < mHolders.size(); i++) {
            double score = Rendezvous.score(keyHash, Hashes.mix(SEAT_SALT, i), 1);
            scored.add(new Scored(mHolders.get(i), score));
        }
        scored.sort(Comparator.comparingDouble(s -> -s.score()));
        return scored.stream().map(Scored::holder).toList();
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof SeatTable t && t.mHolders.equals(mHolders);
    }

    @Override
    public int hashCode() {
        return mHolders.hashCode();
    }

    @Override
    public String toString() {
        return mHolders.toString();
    }

    /** Holds a holder and its score for a key. */
    private record Scored(String holder, double score) {}
}
