package org.forkseam.core.route;

import org.forkseam.core.member.Target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when a target is assigned a shard. Moving keys to a target with an empty cache costs more
 * than some imbalance, so joining targets usually wait:
 *
 * <ul>
 *   <li>A joining target takes over the shard of a leaving one immediately.
 *   <li>It gets a shard if the pool is idle, loaded, or spills many requests, which are copied or
 *       prefilled again in any case.
 *   <li>Otherwise it serves only spilled requests until it has waited for some time.
 * </ul>
 *
 * <p>A target in an evacuated failure domain keeps its shard: its keys are served by the next
 * targets in their order of preference and return to a target that may still have their prompts
 * cached.
 *
 * <p>Not thread-safe. The resulting table is agreed on by compare-and-set in the store.
 *
 * @since 0.2
 */
public final class ShardPlanner {
    /** Time after which a target gets a shard regardless of load. */
    private static final long MAX_WAIT_MILLIS = 60_000;

    /** A vacancy older than this is treated like a new shard, since its keys have moved. */
    private static final long RECENT_VACANCY_MILLIS = 4_000;

    /** Fraction of used slots of the shard owners above which the pool counts as loaded. */
    private static final double LOADED_FRACTION = 0.4;

    private final Map<String, Long> mFirstSeen = new HashMap<>();
    private final Map<Integer, Long> mVacantSince = new HashMap<>();

    /** Classifies a pool's recent requests. */
    public enum Demand {
        /** No recent requests: moving keys is free. */
        IDLE,
        /** Most requests are served by their homes. */
        BALANCED,
        /** Many requests are not served by their homes. */
        SPILLING
    }

    private ShardPlanner() {}

    /** Creates a planner for one pool. */
    public static ShardPlanner create() {
        return new ShardPlanner();
    }

    /**
     * Returns the next table, or empty if the current one should stay.
     *
     * @param demand classification of the pool's recent requests
     */
    public Optional<ShardTable> next(
            ShardTable current, List<Target> pool, Demand demand, long nowMillis) {
        Map<String, Target> usable = new HashMap<>();
        pool.stream().filter(Target::isPoolMember).forEach(t -> usable.put(t.entry().id(), t));
        trackChanges(current, usable, nowMillis);
        ShardTable next = current;
        for (Target t : unassigned(current, usable)) {
            next = assign(next, t, usable, demand, nowMillis);
        }
        return next.equals(current) ? Optional.empty() : Optional.of(next);
    }

    private void trackChanges(ShardTable current, Map<String, Target> usable, long nowMillis) {
        usable.keySet().forEach(id -> mFirstSeen.putIfAbsent(id, nowMillis));
        mFirstSeen.keySet().retainAll(usable.keySet());
        Set<Integer> vacant = new HashSet<>();
        for (int i = 0; i < current.owners().size(); i++) {
            if (!usable.containsKey(current.owners().get(i))) {
                vacant.add(i);
                mVacantSince.putIfAbsent(i, nowMillis);
            }
        }
        mVacantSince.keySet().retainAll(vacant);
    }

    private List<Target> unassigned(ShardTable current, Map<String, Target> usable) {
        List<Target> joining = new ArrayList<>();
        for (Target t : usable.values()) {
            if (!current.isOwner(t.entry().id())) {
                joining.add(t);
            }
        }
        Comparator<Target> longestWait =
                Comparator.comparingLong(t -> mFirstSeen.get(t.entry().id()));
        joining.sort(longestWait.thenComparing(t -> t.entry().id()));
        return joining;
    }

    private ShardTable assign(
            ShardTable table, Target t, Map<String, Target> usable, Demand demand, long nowMillis) {
        String id = t.entry().id();
        boolean waited = nowMillis - mFirstSeen.get(id) > MAX_WAIT_MILLIS;
        boolean anyShard =
                demand != Demand.BALANCED || waited || isLoaded(table, usable, nowMillis);
        for (int i = 0; i < table.owners().size(); i++) {
            if (usable.containsKey(table.owners().get(i))) {
                continue;
            }
            if (anyShard || isRecentlyVacated(i, id, nowMillis)) {
                return table.withOwner(i, id);
            }
        }
        return anyShard ? table.withShard(id) : table;
    }

    /**
     * Returns whether a shard was vacated recently while the joining target was already present.
     */
    private boolean isRecentlyVacated(int shard, String joining, long nowMillis) {
        long since = mVacantSince.getOrDefault(shard, Long.MIN_VALUE / 2);
        return nowMillis - since < RECENT_VACANCY_MILLIS
                && mFirstSeen.get(joining) <= since + RECENT_VACANCY_MILLIS / 4;
    }

    private static boolean isLoaded(ShardTable table, Map<String, Target> usable, long nowMillis) {
        long load = 0;
        long slots = 0;
        for (String id : table.owners()) {
            Target t = usable.get(id);
            if (t != null) {
                load += t.inFlight() + t.othersInFlight(nowMillis);
                slots += t.entry().slots();
            }
        }
        return load > LOADED_FRACTION * slots;
    }
}
