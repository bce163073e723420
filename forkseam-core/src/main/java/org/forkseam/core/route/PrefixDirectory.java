package org.forkseam.core.route;

import org.forkseam.core.util.BoundedMap;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Remembers which targets lately served a shared prompt beginning.
 *
 * <p>Bounded: the beginnings used longest ago are forgotten, and each keeps only its last few
 * targets, so that a popular beginning spreads with the load. Not thread-safe.
 *
 * @since 0.1
 */
public final class PrefixDirectory {
    /** Beginnings remembered: some 200 bytes each. */
    public static final int DEFAULT_SIZE = 4096;

    private static final int TARGETS_KEPT = 4;

    private final Map<Long, Entry[]> mEntries;

    /** Names a target that served a beginning, and when. */
    record Entry(String target, long atMillis) {}

    private PrefixDirectory(int size) {
        mEntries = BoundedMap.byAccess(size);
    }

    /** Creates a directory of at most so many beginnings. */
    public static PrefixDirectory of(int size) {
        return new PrefixDirectory(size);
    }

    /** Notes that a target served a beginning. */
    public void onServed(long prefix, String target, long nowMillis) {
        if (prefix == 0) {
            return;
        }
        Entry[] kept = mEntries.computeIfAbsent(prefix, k -> new Entry[TARGETS_KEPT]);
        int at = TARGETS_KEPT - 1;
        for (int i = 0; i < TARGETS_KEPT; i++) {
            if (kept[i] == null || kept[i].target().equals(target)) {
                at = i;
                break;
            }
        }
        System.arraycopy(kept, 0, kept, 1, at);
        kept[0] = new Entry(target, nowMillis);
    }

    /** Returns the targets that served a beginning, the latest first. */
    List<Entry> holders(long prefix) {
        Entry[] kept = prefix == 0 ? null : mEntries.get(prefix);
        if (kept == null) {
            return List.of();
        }
        int n = 0;
        while (n < TARGETS_KEPT && kept[n] != null) {
            n++;
        }
        return Arrays.asList(kept).subList(0, n);
    }
}
