package org.forkseam.core.route;

import org.forkseam.core.util.BoundedMap;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Tracks which targets recently served a shared prompt prefix.
 *
 * <p>Bounded: evicts the least recently used prefix and keeps only the last few targets of each, so
 * that a popular prefix spreads with the load. Not thread-safe.
 *
 * @since 0.1
 */
public final class PrefixDirectory {
    /** Default number of prefixes, of about 200 bytes each. */
    public static final int DEFAULT_SIZE = 4096;

    private static final int MAX_TARGETS_PER_PREFIX = 4;

    private final Map<Long, Entry[]> mEntries;

    /** Records when a target last served a prefix. */
    record Entry(String target, long atMillis) {}

    private PrefixDirectory(int size) {
        mEntries = BoundedMap.byAccess(size);
    }

    /** Creates a directory of at most {@code size} prefixes. */
    public static PrefixDirectory of(int size) {
        return new PrefixDirectory(size);
    }

    /** Records that a target served a prefix. */
    public void onServed(long prefix, String target, long nowMillis) {
        if (prefix == 0) {
            return;
        }
        Entry[] entries = mEntries.computeIfAbsent(prefix, k -> new Entry[MAX_TARGETS_PER_PREFIX]);
        int index = MAX_TARGETS_PER_PREFIX - 1;
        for (int i = 0; i < MAX_TARGETS_PER_PREFIX; i++) {
            if (entries[i] == null || entries[i].target().equals(target)) {
                index = i;
                break;
            }
        }
        System.arraycopy(entries, 0, entries, 1, index);
        entries[0] = new Entry(target, nowMillis);
    }

    /** Returns the targets that served a prefix, most recent first. */
    List<Entry> holders(long prefix) {
        Entry[] entries = prefix == 0 ? null : mEntries.get(prefix);
        if (entries == null) {
            return List.of();
        }
        int n = 0;
        while (n < MAX_TARGETS_PER_PREFIX && entries[n] != null) {
            n++;
        }
        return Arrays.asList(entries).subList(0, n);
    }
}
