package org.forkseam.core.util;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Evicts the eldest entry when the map exceeds its maximum size. Not thread-safe.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 * @since 0.1
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int mMaxEntries;

    private BoundedMap(int maxEntries, boolean byAccess) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, byAccess);
        mMaxEntries = maxEntries;
    }

    /** Creates a map that evicts the entry inserted first. */
    public static <K, V> BoundedMap<K, V> byInsertion(int maxEntries) {
        return new BoundedMap<>(maxEntries, false);
    }

    /** Creates a map that evicts the least recently used entry. */
    public static <K, V> BoundedMap<K, V> byAccess(int maxEntries) {
        return new BoundedMap<>(maxEntries, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > mMaxEntries;
    }
}
