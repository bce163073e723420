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
 * Decides when a target gets a seat. Moving keys to a target without a cache costs more than an
 * uneven load, so that newcomers wait:
 *
 * <ul>
 *   <li>a newcomer takes the seat of a target that leaves while it is there, at once;
 *   <li>it gets a seat of its own while the pool is idle, when the pool is loaded, or when many
 *       requests leave their homes: they are copied or read again anyway;
 *   <li>else it serves what others cannot take, and gets a seat after a while.
 * </ul>
 *
 * <p>A target whose failure domain is evacuated keeps its seat: its keys are served by the next in
 * their order, and come back to a target that may still have their prompts.
 *
 * <p>Used on one thread; the plan itself is agreed upon elsewhere, by compare-and-set.
 *
 * @since 0.2
 */
public final class SeatPlanner {
    /** A newcomer gets a seat after so long, whatever the load. */
    private static final long WAIT_MILLIS = 60_000;

    /** A vacancy older than this is filled like a new seat: its keys have moved on. */
    private static final long FRESH_VACANCY_MILLIS = 4_000;

    /** Mean load of the seated targets, as a share of their slots, that calls for more. */
    private static final double LOADED_SHARE = 0.4;

    private final Map<String, Long> mFirstSeen = new HashMap<>();
    private final Map<Integer, Long> mVacantSince = new HashMap<>();

    /** Says what a pool's requests show. */
    public enum Demand {
        /** There were none for a while: to move keys costs nothing. */
        IDLE,
        /** Most find room at their homes. */
        BALANCED,
        /** Many leave their homes: the seats do not fit the pool. */
        SPILLING
    }

    private SeatPlanner() {}

    /** Creates a planner for one pool. */
    public static SeatPlanner create() {
        return new SeatPlanner();
    }

    /**
     * Returns the table that should follow, or empty if the present one should stay.
     *
     * @param demand what the pool's requests show
     */
    public Optional<SeatTable> next(
            SeatTable now, List<Target> pool, Demand demand, long nowMillis) {
        Map<String, Target> usable = new HashMap<>();
        pool.stream().filter(Target::isPoolMember).forEach(t -> usable.put(t.entry().id(), t));
        note(now, usable, nowMillis);
        SeatTable next = now;
        for (Target t : newcomers(now, usable)) {
            next = seat(next, t, usable, demand, nowMillis);
        }
        return next.equals(now) ? Optional.empty() : Optional.of(next);
    }

    private void note(SeatTable now, Map<String, Target> usable, long nowMillis) {
        usable.keySet().forEach(id -> mFirstSeen.putIfAbsent(id, nowMillis));
        mFirstSeen.keySet().retainAll(usable.keySet());
        Set<Integer> vacant = new HashSet<>();
        for (int i = 0; i < now.holders().size(); i++) {
            if (!usable.containsKey(now.holders().get(i))) {
                vacant.add(i);
                mVacantSince.putIfAbsent(i, nowMillis);
            }
        }
        mVacantSince.keySet().retainAll(vacant);
    }

    private List<Target> newcomers(SeatTable now, Map<String, Target> usable) {
        List<Target> out = new ArrayList<>();
        for (Target t : usable.values()) {
            if (!now.holds(t.entry().id())) {
                out.add(t);
            }
        }
        Comparator<Target> longestWait =
                Comparator.comparingLong(t -> mFirstSeen.get(t.entry().id()));
        out.sort(longestWait.thenComparing(t -> t.entry().id()));
        return out;
    }

    private SeatTable seat(
            SeatTable table, Target t, Map<String, Target> usable, Demand demand, long nowMillis) {
        String id = t.entry().id();
        boolean waited = nowMillis - mFirstSeen.get(id) > WAIT_MILLIS;
        boolean anySeat = demand != Demand.BALANCED || waited || isLoaded(table, usable, nowMillis);
        for (int i = 0; i < table.holders().size(); i++) {
            if (usable.containsKey(table.holders().get(i))) {
                continue;
            }
            if (anySeat || isFresh(i, id, nowMillis)) {
                return table.withHolder(i, id);
            }
        }
        return anySeat ? table.withSeat(id) : table;
    }

    /** Returns whether a seat fell vacant a moment ago, while the newcomer was there already. */
    private boolean isFresh(int seat, String newcomer, long nowMillis) {
        long since = mVacantSince.getOrDefault(seat, Long.MIN_VALUE / 2);
        return nowMillis - since < FRESH_VACANCY_MILLIS
                && mFirstSeen.get(newcomer) <= since + FRESH_VACANCY_MILLIS / 4;
    }

    private static boolean isLoaded(SeatTable table, Map<String, Target> usable, long nowMillis) {
        long load = 0;
        long slots = 0;
        for (String id : table.holders()) {
            Target t = usable.get(id);
            if (t != null) {
                load += t.inFlight() + t.othersInFlight(nowMillis);
                slots += t.entry().slots();
            }
        }
        return load > LOADED_SHARE * slots;
    }
}
