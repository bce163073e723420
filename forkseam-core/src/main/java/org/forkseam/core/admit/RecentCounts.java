package org.forkseam.core.admit;

import org.forkseam.core.util.BoundedMap;

import java.util.List;
import java.util.Map;

/**
 * Counts recent requests and those of them that were begun, by key. The least recently used keys
 * are evicted. Not thread-safe.
 *
 * @param <K> type of the keys
 */
final class RecentCounts<K> {
    /** Time constant of the counts: long enough for a router with a few requests per second. */
    private static final double DECAY_MILLIS = 5_000;

    /** Maximum number of keys, about 200 bytes each. */
    private static final int MAX_KEYS = 256;

    private final Map<K, Count> mCounts = BoundedMap.byAccess(MAX_KEYS);

    /** Requests of a key. */
    private record Count(DecayingCount arrived, DecayingCount begun) {}

    private Count count(K key) {
        return mCounts.computeIfAbsent(
                key,
                k -> new Count(new DecayingCount(DECAY_MILLIS), new DecayingCount(DECAY_MILLIS)));
    }

    void onArrived(K key, long now) {
        count(key).arrived().add(1, now);
    }

    void onBegun(K key, long now) {
        count(key).begun().add(1, now);
    }

    double arrived(K key, long now) {
        return count(key).arrived().value(now);
    }

    double begun(K key, long now) {
        return count(key).begun().value(now);
    }

    List<K> keys() {
        return List.copyOf(mCounts.keySet());
    }
}
