package org.forkseam.core.route;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetIncarnation;
import org.forkseam.core.util.BoundedMap;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks which targets are likely to have a key's prompt in their cache.
 *
 * <p>A target without the prompt can then copy the cache entry from one that has it, which costs a
 * fraction of prefilling it. Entries come from this router's answers and from other routers. Keys
 * are stored as hashes. Not thread-safe.
 *
 * @since 0.2
 */
public final class PromptHolderIndex {
    /** Each key takes about 200 bytes. */
    private static final int MAX_KEYS = 8_192;

    private static final int MAX_HOLDERS = 4;

    /** Time after which the prompt may have been evicted from a target's cache. */
    private static final long HOLDER_TTL_MILLIS = 60_000;

    private final Map<Long, BoundedMap<TargetIncarnation, Long>> mHoldersByKey =
            BoundedMap.byAccess(MAX_KEYS);

    private PromptHolderIndex() {}

    /** Creates an empty index. */
    public static PromptHolderIndex create() {
        return new PromptHolderIndex();
    }

    /**
     * Records that a target answered a request with a key. Returns whether the entry is new or had
     * expired.
     */
    public boolean onAnswered(long key, TargetIncarnation target, long nowMillis) {
        BoundedMap<TargetIncarnation, Long> holders =
                mHoldersByKey.computeIfAbsent(key, k -> BoundedMap.byAccess(MAX_HOLDERS));
        Long previous = holders.put(target, nowMillis);
        return previous == null || nowMillis - previous >= HOLDER_TTL_MILLIS;
    }

    /** Returns whether a target is known to have a key's prompt in its cache. */
    public boolean isHolder(long key, TargetIncarnation target, long nowMillis) {
        BoundedMap<TargetIncarnation, Long> holders = mHoldersByKey.get(key);
        return holders != null && isCurrent(holders.get(target), nowMillis);
    }

    private static boolean isCurrent(Long answeredAt, long nowMillis) {
        return answeredAt != null && nowMillis - answeredAt < HOLDER_TTL_MILLIS;
    }

    /**
     * Returns the target from which to copy a prompt, or empty if the chosen target is likely to
     * have it.
     *
     * @param likely ids of targets that are likely to have the prompt, most likely first
     */
    public Optional<Target> copySource(
            long key,
            Target chosen,
            List<String> likely,
            TargetDirectory directory,
            long nowMillis) {
        BoundedMap<TargetIncarnation, Long> holders = mHoldersByKey.get(key);
        if (holders != null) {
            if (isCurrent(holders.get(chosen.incarnation()), nowMillis)) {
                return Optional.empty();
            }
            Optional<Target> newest = newestHolder(holders, chosen, directory, nowMillis);
            if (newest.isPresent()) {
                return newest;
            }
        }
        return firstReachable(likely, chosen, directory, nowMillis);
    }

    /** Returns whether a target is known to have processed the prompt of a key. */
    public boolean hasHolder(long key, long nowMillis) {
        BoundedMap<TargetIncarnation, Long> holders = mHoldersByKey.get(key);
        return holders != null
                && holders.values().stream().anyMatch(at -> nowMillis - at < HOLDER_TTL_MILLIS);
    }

    private static Optional<Target> newestHolder(
            Map<TargetIncarnation, Long> holders,
            Target chosen,
            TargetDirectory directory,
            long nowMillis) {
        Target best = null;
        long bestAt = nowMillis - HOLDER_TTL_MILLIS;
        for (Map.Entry<TargetIncarnation, Long> h : holders.entrySet()) {
            Optional<Target> t = directory.findReachable(h.getKey(), nowMillis);
            if (h.getValue() > bestAt
                    && t.isPresent()
                    && isUsableSource(t.get(), chosen, nowMillis)) {
                best = t.get();
                bestAt = h.getValue();
            }
        }
        return Optional.ofNullable(best);
    }

    private static Optional<Target> firstReachable(
            List<String> likely, Target chosen, TargetDirectory directory, long nowMillis) {
        for (String id : likely) {
            if (id.equals(chosen.entry().id())) {
                return Optional.empty();
            }
            Optional<Target> t = directory.findReachable(id, nowMillis);
            if (t.isPresent() && isUsableSource(t.get(), chosen, nowMillis)) {
                return t;
            }
        }
        return Optional.empty();
    }

    /** Returns whether a target can copy a prompt from another. */
    public static boolean isUsableSource(Target t, Target chosen, long nowMillis) {
        // A target that is recovering from failures still has its cache.
        return t != chosen
                && t.softwareKey() == chosen.softwareKey()
                && t.health().trafficShare(nowMillis) > 0
                && !t.isSilent(nowMillis);
    }
}
