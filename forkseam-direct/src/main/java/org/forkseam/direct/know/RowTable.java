package org.forkseam.direct.know;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.direct.spi.SharedRow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Local copy of the rows that routers share. Not thread-safe.
 *
 * <p>A store that was restored from an older copy may lack the last writes of some rows. Their
 * values remain valid here as unsynced rows until they are written again or another router writes
 * other values.
 */
final class RowTable {
    /** Removed rows remembered, so that a restore does not resurrect them. */
    private static final int MAX_REMOVED = 1_024;

    private final Map<String, Entry> mEntries = new LinkedHashMap<>();
    private final Map<String, Boolean> mRemoved = BoundedMap.byInsertion(MAX_REMOVED);
    private final Map<String, SharedRow> mResurrected = new LinkedHashMap<>();

    /**
     * A row and its state.
     *
     * @param row the local value, at the position of the row in the store
     * @param unsynced whether the store has another value or no row
     */
    private record Entry(SharedRow row, boolean unsynced) {}

    /** Returns the local values of all rows. */
    List<SharedRow> rows() {
        return mEntries.values().stream().map(Entry::row).toList();
    }

    /** Returns the local value of a row. */
    Optional<SharedRow> find(String key) {
        return Optional.ofNullable(mEntries.get(key)).map(Entry::row);
    }

    /** Returns whether the store has another value of a row, or lacks it. */
    boolean isUnsynced(String key) {
        Entry e = mEntries.get(key);
        return e != null && e.unsynced();
    }

    /** Returns the rows of which the store has another value or none. */
    List<SharedRow> unsynced() {
        return mEntries.values().stream().filter(Entry::unsynced).map(Entry::row).toList();
    }

    /** Returns and clears the rows that had been removed and that a restore brought back. */
    List<SharedRow> drainResurrected() {
        List<SharedRow> resurrected = List.copyOf(mResurrected.values());
        mResurrected.clear();
        return resurrected;
    }

    void evict(String key) {
        mEntries.remove(key);
    }

    /** Applies a row; returns false if a newer version is known. */
    boolean apply(SharedRow row) {
        Entry known = mEntries.get(row.key());
        if (known != null && !isNewer(row, known)) {
            return false;
        }
        if (row.exists()) {
            mEntries.put(row.key(), new Entry(row, false));
            mRemoved.remove(row.key());
        } else {
            mEntries.remove(row.key());
            mRemoved.put(row.key(), true);
        }
        return true;
    }

    private static boolean isNewer(SharedRow row, Entry known) {
        StorePosition at = known.row().position();
        if (row.exists()) {
            return row.position().isAfter(at);
        }
        boolean wasAbsent = known.unsynced() && !known.row().exists();
        return row.position().era() >= at.era() && !wasAbsent;
    }

    /**
     * Returns how a full read of a later era differs from this table: new, changed and absent rows.
     * Another table with the same content can be updated by the difference alone.
     */
    List<SharedRow> diff(Collection<SharedRow> read, int era) {
        Map<String, SharedRow> remaining = new LinkedHashMap<>();
        read.forEach(r -> remaining.put(r.key(), r));
        List<SharedRow> differing = new ArrayList<>();
        for (Entry e : mEntries.values()) {
            SharedRow own = e.row();
            SharedRow now = remaining.remove(own.key());
            if (now == null) {
                differing.add(SharedRow.absent(own.key(), era));
            } else if (!isSame(own, now)) {
                differing.add(now);
            }
        }
        differing.addAll(remaining.values());
        return differing;
    }

    private static boolean isSame(SharedRow own, SharedRow now) {
        return own.value().equals(now.value())
                && own.position().revision() == now.position().revision();
    }

    /**
     * Moves to a later era.
     *
     * @param since position of the table from which the difference was computed
     * @param era the later era
     * @param differing rows that differ in the store
     * @return rows that were not known
     */
    List<SharedRow> advanceEra(StorePosition since, int era, List<SharedRow> differing) {
        mResurrected.clear(); // those of an earlier restore may have been written again since
        Map<String, SharedRow> other = new HashMap<>();
        differing.forEach(r -> other.put(r.key(), r));
        mEntries.replaceAll(
                (key, e) -> {
                    SharedRow now = other.remove(key);
                    if (e.row().position().era() >= era) {
                        return e; // already received from its writer
                    }
                    return now == null ? unchanged(e.row(), since, era) : changed(e.row(), now);
                });
        List<SharedRow> added = new ArrayList<>();
        for (SharedRow r : differing) {
            if (!other.containsKey(r.key()) || !r.exists()) {
                continue;
            }
            if (mRemoved.containsKey(r.key())) {
                mResurrected.put(r.key(), r);
            } else {
                mEntries.put(r.key(), new Entry(r, false));
                added.add(r);
            }
        }
        return added;
    }

    /**
     * Returns the entry of a row absent from the difference: the store still has it, unless the
     * router that computed the difference did not know it.
     */
    private static Entry unchanged(SharedRow own, StorePosition since, int era) {
        StorePosition at = own.position();
        if (at.isAfter(since)) {
            return new Entry(own.withPosition(StorePosition.of(era, 0)), true);
        }
        return new Entry(own.withPosition(StorePosition.of(era, at.revision())), false);
    }

    private static Entry changed(SharedRow own, SharedRow now) {
        boolean same = now.exists() && now.value().equals(own.value());
        return new Entry(own.withPosition(now.position()), !same);
    }
}
