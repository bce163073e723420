package org.forkseam.core.place;

import org.forkseam.core.util.BoundedMap;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks which engines hold the shared parts of prompts and which are processing them. Not
 * thread-safe.
 */
final class PartHolders {
    private static final int MAX_PARTS = 8_192;

    /** Whether each engine has processed a part, by the part's hash. */
    private final Map<Long, Map<Integer, Boolean>> mByPart = BoundedMap.byAccess(MAX_PARTS);

    int size() {
        return mByPart.size();
    }

    /** Returns whether each engine that holds or is processing a part has processed it. */
    Map<Integer, Boolean> of(long part) {
        return mByPart.getOrDefault(part, Map.of());
    }

    /** Returns an engine, one of the given, that has processed a part. */
    Optional<Integer> source(long part, Collection<Integer> engines) {
        for (Map.Entry<Integer, Boolean> e : of(part).entrySet()) {
            if (e.getValue() && engines.contains(e.getKey())) {
                return Optional.of(e.getKey());
            }
        }
        return Optional.empty();
    }

    /** Records that an engine is going to process a part, unless it has done so. */
    void onPlaced(long part, int engine) {
        mByPart.computeIfAbsent(part, p -> new HashMap<>(4)).putIfAbsent(engine, false);
    }

    void onProcessed(long part, int engine) {
        mByPart.computeIfAbsent(part, p -> new HashMap<>(4)).put(engine, true);
    }

    /** Records that an engine may not have processed a part that was placed on it. */
    void onFailed(long part, int engine) {
        Map<Integer, Boolean> holders = mByPart.get(part);
        if (holders != null) {
            holders.remove(engine, false);
        }
    }
}
