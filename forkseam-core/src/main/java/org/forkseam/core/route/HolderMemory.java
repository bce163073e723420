package org.forkseam.core.route;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetIncarnation;
import org.forkseam.core.util.BoundedMap;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which targets have answered a key, by this router's word or another's, so that a target
 * without the key's prompt in its memory can copy it from one that has it: a copy costs a small
 * part of a reread. Keys are known by their hashes.
 *
 * <p>Used on one thread.
 *
 * @since 0.2
 */
public final class HolderMemory {
    /** Keys remembered; each costs some 200 bytes. */
    private static final int MAX_KEYS = 8_192;

    /** Targets remembered for a key. */
    private static final int MAX_HOLDERS = 4;

    /** After so long a prompt may have given way to others. Origin: the pools' memory and rates. */
    private static final long KEPT_MILLIS = 60_000;

    private final Map<Long, BoundedMap<TargetIncarnation, Long>> mByKey =
            BoundedMap.byAccess(MAX_KEYS);

    private HolderMemory() {}

    /** Creates a memory that knows nothing. */
    public static HolderMemory create() {
        return new HolderMemory();
    }

    /**
     * Notes that a target has answered a request with a key, and returns whether that was not known
     * before.
     */
    public boolean onAnswered(long key, TargetIncarnation target, long nowMillis) {
        BoundedMap<TargetIncarnation, Long> holders =
                mByKey.computeIfAbsent(key, k -> BoundedMap.byAccess(MAX_HOLDERS));
        Long before = holders.put(target, nowMillis);
        return before == null || nowMillis - before >= KEPT_MILLIS;
    }

    /**
     * Returns the target to copy a prompt from, or empty if the target chosen is likely to have it.
     *
     * @param likely ids of targets that are likely to have it, the likeliest first
     */
    public Optional<Target> source(
            long key,
            Target chosen,
            List<String> likely,
            TargetDirectory directory,
            long nowMillis) {
        BoundedMap<TargetIncarnation, Long> holders = mByKey.get(key);
        if (holders != null) {
            Long at = holders.get(chosen.incarnation());
            if (at != null && nowMillis - at < KEPT_MILLIS) {
                return Optional.empty();
            }
            Optional<Target> known = newest(holders, chosen, directory, nowMillis);
            if (known.isPresent()) {
                return known;
            }
        }
        return firstReachable(likely, chosen, directory, nowMillis);
    }

    private static Optional<Target> newest(
            Map<TargetIncarnation, Long> holders,
            Target chosen,
            TargetDirectory directory,
            long nowMillis) {
        Target best = null;
        long bestAt = nowMillis - KEPT_MILLIS;
        for (Map.Entry<TargetIncarnation, Long> h : holders.entrySet()) {
            Optional<Target> t = directory.findReachable(h.getKey(), nowMillis);
            if (h.getValue() > bestAt && t.isPresent() && isGood(t.get(), chosen, nowMillis)) {
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
            if (t.isPresent() && isGood(t.get(), chosen, nowMillis)) {
                return t;
            }
        }
        return Optional.empty();
    }

    private static boolean isGood(Target t, Target chosen, long nowMillis) {
        // One that is coming back after failures still has what it read before.
        return t != chosen && t.health().trafficShare(nowMillis) > 0 && !t.isSilent(nowMillis);
    }
}
