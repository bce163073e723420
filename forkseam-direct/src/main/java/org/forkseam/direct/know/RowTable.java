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
 * Keeps the rows that routers share, as they hold here.
 *
 * <p>When the store comes back from an older copy, it may lack the last writes of some rows. Their
 * content holds on here, ahead of the store, until it is written again or another router writes
 * something else. Not thread-safe.
 */
final class RowTable {
    /** Removed rows that are remembered, so that a copy does not bring them back. */
    private static final int MAX_REMOVED = 1_024;

    private final Map<String, Entry> mEntries = new LinkedHashMap<>();
    private final Map<String, Boolean> mRemoved = BoundedMap.byInsertion(MAX_REMOVED);
    private final Map<String, SharedRow> mRevived = new LinkedHashMap<>();

    /**
     * Holds a row.
     *
     * @param row as it holds here, at the position of the store's row
     * @param ahead whether the store's row is another, or missing
     */
    private record Entry(SharedRow row, boolean ahead) {}

    /** Returns all rows, as they hold here. */
    List<SharedRow> known() {
        return mEntries.values().stream().map(Entry::row).toList();
    }

    /** Returns whether no row is known. */
    boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Returns a row, as it holds here. */
    Optional<SharedRow> find(String key) {
        return Optional.ofNullable(mEntries.get(key)).map(Entry::row);
    }

    /** Returns whether a row holds here that the store does not have. */
    boolean isAhead(String key) {
        Entry e = mEntries.get(key);
        return e != null && e.ahead();
    }

    /** Returns the rows that hold here and that the store does not have. */
    List<SharedRow> ahead() {
        return mEntries.values().stream().filter(Entry::ahead).map(Entry::row).toList();
    }

    /** Returns the rows that had been removed before a copy brought them back, and forgets them. */
    List<SharedRow> takeRevived() {
        List<SharedRow> revived = List.copyOf(mRevived.values());
        mRevived.clear();
        return revived;
    }

    /** Forgets a row that nobody has written again. */
    void forget(String key) {
        mEntries.remove(key);
    }

    /** Takes a row in; returns false if a newer state of it is known. */
    boolean take(SharedRow row) {
        Entry known = mEntries.get(row.key());
        if (known != null && !isNews(row, known)) {
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

    private static boolean isNews(SharedRow row, Entry known) {
        StorePosition at = known.row().position();
        if (row.exists()) {
            return row.position().isAfter(at);
        }
        boolean wasAbsent = known.ahead() && !known.row().exists();
        return row.position().era() >= at.era() && !wasAbsent;
    }

    /**
     * Returns what a whole read of a later era has otherwise than this table: rows that are new or
     * differ, and absent ones. Whoever knows the same as this table can follow by these alone.
     */
    List<SharedRow> differing(Collection<SharedRow> read, int era) {
        Map<String, SharedRow> left = new LinkedHashMap<>();
        read.forEach(r -> left.put(r.key(), r));
        List<SharedRow> differing = new ArrayList<>();
        for (Entry e : mEntries.values()) {
            SharedRow own = e.row();
            SharedRow now = left.remove(own.key());
            if (now == null) {
                differing.add(SharedRow.absent(own.key(), era));
            } else if (!isSame(own, now)) {
                differing.add(now);
            }
        }
        differing.addAll(left.values());
        return differing;
    }

    private static boolean isSame(SharedRow own, SharedRow now) {
        return own.value().equals(now.value())
                && own.position().revision() == now.position().revision();
    }

    /**
     * Moves on to a later era.
     *
     * @param since up to where the table is known whose differences these are
     * @param era the later one
     * @param differing what the store has otherwise
     * @return rows that were not known
     */
    List<SharedRow> turn(StorePosition since, int era, List<SharedRow> differing) {
        mRevived.clear(); // those of an earlier return may have been written anew since
        Map<String, SharedRow> other = new HashMap<>();
        differing.forEach(r -> other.put(r.key(), r));
        mEntries.replaceAll(
                (key, e) -> {
                    SharedRow now = other.remove(key);
                    if (e.row().position().era() >= era) {
                        return e; // told by its writer already
                    }
                    return now == null ? unchanged(e.row(), since, era) : changed(e.row(), now);
                });
        List<SharedRow> news = new ArrayList<>();
        for (SharedRow r : differing) {
            if (!other.containsKey(r.key()) || !r.exists()) {
                continue;
            }
            if (mRemoved.containsKey(r.key())) {
                mRevived.put(r.key(), r);
            } else {
                mEntries.put(r.key(), new Entry(r, false));
                news.add(r);
            }
        }
        return news;
    }

    /** Returns a row that the store still has, unless it is one that the teller did not know. */
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
