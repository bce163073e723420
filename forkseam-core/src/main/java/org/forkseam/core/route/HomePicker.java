package org.forkseam.core.route;

import org.forkseam.core.member.Target;
import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Prefers the same target for the same key, within a bound on load.
 *
 * <p>The order of preference is by rendezvous hashing over the pool's seats, so all routers with
 * the same table agree on it without a message; targets without a seat come last. A target over the
 * bound is passed over; targets that rest, in an evacuated domain for instance, lower the mean that
 * the bound is a multiple of, as operators reckon it; where many rest, requests are spread evenly.
 * Requests with little to reread keep a distance from the bound, so that those with much to reread
 * find their home below it.
 *
 * @since 0.2
 */
public final class HomePicker implements TargetPicker {
    /** From so many shared tokens on a reread holds other requests up for tens of milliseconds. */
    private static final long MANY_TOKENS = 4_000;

    /** Part of the bound that requests with little to reread use. */
    private static final double LIGHT_SHARE = 0.85;

    /**
     * Part of a target's places below which it begins a request at once, as far as readings that
     * are half a second old can tell.
     */
    private static final double FREE_SHARE = 0.75;

    /**
     * Bound on the load of a target that has no place free for sure, as a multiple of the mean and
     * requests above that. A request that waits there waits for whole answers of others, while a
     * copy of its prompt costs another target some ten milliseconds. On a day with five seconds of
     * three times the load it was worth 0.03 of 0.6, one run; tighter bounds copied twice as much
     * in the model of that load and had as many in time.
     */
    private static final double FULL_MULTIPLE = 1.2;

    private static final double FULL_MARGIN = 3;

    /**
     * Where the bound comes so near to what the candidates carry on average, homes cannot keep it,
     * and requests are spread evenly. With half of 29 engines resting, 28 to 38% of requests met an
     * engine over the bound by homes, 0.5 to 1.2% by an even spread, for twice as many prompts read
     * again; with a third resting homes keep it (0.4 to 2%). Measured in the model.
     */
    private static final double EVEN_BELOW = 1.25;

    private final double mMultiple;
    private final int mMargin;

    private HomePicker(double multiple, int margin) {
        mMultiple = multiple;
        mMargin = margin;
    }

    /**
     * Creates a picker.
     *
     * @param multiple bound on a target's load, as a multiple of the mean of the candidates
     * @param margin requests allowed above that
     */
    public static HomePicker of(double multiple, int margin) {
        return new HomePicker(multiple, margin);
    }

    @Override
    public Optional<Pick> pick(PickRequest request, List<Target> candidates, long now) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        List<Target> order = order(request, candidates);
        int all = candidates.size() + request.resting();
        if (mMultiple * candidates.size() < EVEN_BELOW * all) {
            return Optional.of(evenly(order, now));
        }
        long total = 0;
        for (Target t : candidates) {
            total += load(t, now);
        }
        double share = request.sharedTokens() < MANY_TOKENS ? LIGHT_SHARE : 1;
        double mean = (double) total / all;
        double spread = share * mMultiple * mean + mMargin;
        double full = FULL_MULTIPLE * mean + FULL_MARGIN;
        for (int i = 0; i < order.size(); i++) {
            Target t = order.get(i);
            double bound = Math.min(spread, Math.max(FREE_SHARE * t.entry().slots(), full));
            if (load(t, now) < bound) {
                Pick.Reason why = i == 0 ? Pick.Reason.HOME : Pick.Reason.SPILL;
                return Optional.of(new Pick(t, i, why, load(t, now)));
            }
        }
        return Optional.of(leastLoaded(order, now));
    }

    /**
     * Chooses among the targets that have the fewest requests of this router: the less loaded of
     * the first two in the key's order. What a router has sent itself it knows at once, while
     * others' loads are half a second old: if all go by those, all go to the same target.
     */
    private static Pick evenly(List<Target> order, long now) {
        int fewest = order.stream().mapToInt(Target::inFlight).min().orElseThrow();
        int first = next(order, 0, fewest);
        int second = next(order, first + 1, fewest);
        boolean isSecond =
                second < order.size() && load(order.get(second), now) < load(order.get(first), now);
        int rank = isSecond ? second : first;
        Target t = order.get(rank);
        Pick.Reason why = rank == 0 ? Pick.Reason.HOME : Pick.Reason.SPILL;
        return new Pick(t, rank, why, load(t, now));
    }

    private static int next(List<Target> order, int from, int inFlight) {
        int i = from;
        while (i < order.size() && order.get(i).inFlight() > inFlight) {
            i++;
        }
        return i;
    }

    private static List<Target> order(PickRequest request, List<Target> candidates) {
        Map<String, Target> left = new HashMap<>();
        candidates.forEach(t -> left.put(t.entry().id(), t));
        long hash = Hashes.of(request.key());
        List<Target> order = new ArrayList<>(candidates.size());
        for (String holder : request.seats().order(hash)) {
            Target t = left.remove(holder);
            if (t != null) {
                order.add(t);
            }
        }
        left.values().stream()
                .map(t -> new Scored(t, Rendezvous.score(hash, t.hash(), 1)))
                .sorted(Comparator.comparingDouble(s -> -s.score()))
                .forEach(s -> order.add(s.target()));
        return order;
    }

    private static Pick leastLoaded(List<Target> order, long now) {
        int best = 0;
        for (int i = 1; i < order.size(); i++) {
            if (load(order.get(i), now) < load(order.get(best), now)) {
                best = i;
            }
        }
        Target t = order.get(best);
        return new Pick(t, best, Pick.Reason.ALL_LOADED, load(t, now));
    }

    private static int load(Target t, long now) {
        return t.inFlight() + t.othersInFlight(now);
    }

    /** Holds a candidate and its place for a key. */
    private record Scored(Target target, double score) {}
}
