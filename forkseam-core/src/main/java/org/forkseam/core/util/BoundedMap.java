package org.forkseam.core.util;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Is a map of at most so many entries: the eldest makes room for a new one. Not thread-safe.
 *
 * @param <K> keys
 * @param <V> values
 * @since 0.1
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int FIRST_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int mLimit;

    private BoundedMap(int limit, boolean byAccess) {
        super(FIRST_CAPACITY, LOAD_FACTOR, byAccess);
        mLimit = limit;
    }

    /** Creates a map in which the entry put in first is the eldest. */
    public static <K, V> BoundedMap<K, V> byInsertion(int limit) {
        return new BoundedMap<>(limit, false);
    }

    /** Creates a map in which the entry used longest ago is the eldest. */
    public static <K, V> BoundedMap<K, V> byAccess(int limit) {
        return new BoundedMap<>(limit, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > mLimit;
    }
}
