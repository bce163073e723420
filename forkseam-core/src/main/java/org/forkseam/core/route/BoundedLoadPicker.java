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
 * Routes a key to the same target as long as that target's load is within a bound.
 *
 * <p>The preference order is given by rendezvous hashing over the pool's shards, so that all
 * routers with the same table agree without communication; targets that own no shard come last.
 * Targets over the bound are skipped. The bound is a multiple of the mean load, to which idle
 * targets, such as those of an evacuated failure domain, count with zero load. If many targets are
 * idle, requests are spread evenly instead. Requests with a small shared prefix get a lower bound,
 * which leaves room for those with a large one. Stateless.
 *
 * @since 0.2
 */
public final class BoundedLoadPicker implements TargetPicker {
    /** Shared prefix from which prefilling it again delays other requests noticeably. */
    private static final long LARGE_PREFIX_TOKENS = 4_000;

    /** Fraction of the bound that applies to requests with a small shared prefix. */
    private static final double SMALL_PREFIX_BOUND_FRACTION = 0.85;

    /**
     * Fraction of a target's slots below which it starts a request at once. Less than 1, since load
     * readings are about half a second old.
     */
    private static final double FREE_SLOTS_FRACTION = 0.75;

    /**
     * Bound on the load of a target that may have no free slot, as a multiple of the mean. Queueing
     * there waits for whole responses of other requests, while copying the prompt costs another
     * target about ten milliseconds. Tighter bounds copied twice as much without more requests in
     * time.
     */
    private static final double SATURATED_MULTIPLE = 1.2;

    /** Requests allowed above that multiple. */
    private static final double SATURATED_MARGIN = 3;

    /**
     * Ratio of the bound to the candidates' mean load below which keys cannot stay at their homes
     * and requests are spread evenly. In a model with half of 29 engines evacuated, 28 to 38% of
     * the requests met an engine over the bound at their homes, and 0.5 to 1.2% with an even
     * spread, which prefilled twice as many prompts again.
     */
    private static final double MIN_BOUND_HEADROOM = 1.25;

    private final double mMultiple;
    private final int mMargin;

    private BoundedLoadPicker(double multiple, int margin) {
        mMultiple = multiple;
        mMargin = margin;
    }

    /**
     * Creates a picker.
     *
     * @param multiple bound on a target's load, as a multiple of the mean load
     * @param margin requests allowed above that
     */
    public static BoundedLoadPicker of(double multiple, int margin) {
        return new BoundedLoadPicker(multiple, margin);
    }

    @Override
    public Optional<Pick> pick(PickRequest request, List<Target> candidates, long now) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        List<Target> order = preferenceOrder(request, candidates);
        int all = candidates.size() + request.idleTargets();
        if (mMultiple * candidates.size() < MIN_BOUND_HEADROOM * all) {
            return Optional.of(pickEvenly(order, now));
        }
        long total = 0;
        for (Target t : candidates) {
            total += load(t, now);
        }
        double boundFraction =
                request.sharedTokens() < LARGE_PREFIX_TOKENS ? SMALL_PREFIX_BOUND_FRACTION : 1;
        double mean = (double) total / all;
        double prefixBound = boundFraction * mMultiple * mean + mMargin;
        double saturatedBound = SATURATED_MULTIPLE * mean + SATURATED_MARGIN;
        int placed = request.placed().map(order::indexOf).orElse(-1);
        if (placed >= 0 && isWithin(order.get(placed), prefixBound, saturatedBound, now)) {
            Target t = order.get(placed);
            return Optional.of(new Pick(t, placed, Pick.Reason.PLACED, load(t, now)));
        }
        for (int i = 0; i < order.size(); i++) {
            Target t = order.get(i);
            if (isWithin(t, prefixBound, saturatedBound, now)) {
                Pick.Reason reason = i == 0 ? Pick.Reason.HOME : Pick.Reason.SPILL;
                return Optional.of(new Pick(t, i, reason, load(t, now)));
            }
        }
        return Optional.of(pickLeastLoaded(order, now));
    }

    /** Returns whether a target is below its load bound. */
    private static boolean isWithin(Target t, double prefixBound, double saturatedBound, long now) {
        double freeSlotsBound = FREE_SLOTS_FRACTION * t.entry().slots();
        return load(t, now) < Math.min(prefixBound, Math.max(freeSlotsBound, saturatedBound));
    }

    /** Returns the first of the candidates in a key's order of preference. */
    public static Optional<Target> home(PickRequest request, List<Target> candidates) {
        return preferenceOrder(request, candidates).stream().findFirst();
    }

    /**
     * Picks among the targets with the fewest requests in flight from this router the less loaded
     * of the first two in the key's order. Other routers' loads are delayed, so that picking by
     * total load would send all routers to the same target.
     */
    private static Pick pickEvenly(List<Target> order, long now) {
        int fewest = order.stream().mapToInt(Target::inFlight).min().orElseThrow();
        int first = nextWithInFlight(order, 0, fewest);
        int second = nextWithInFlight(order, first + 1, fewest);
        boolean takeSecond =
                second < order.size() && load(order.get(second), now) < load(order.get(first), now);
        int rank = takeSecond ? second : first;
        Target t = order.get(rank);
        Pick.Reason reason = rank == 0 ? Pick.Reason.HOME : Pick.Reason.SPILL;
        return new Pick(t, rank, reason, load(t, now));
    }

    private static int nextWithInFlight(List<Target> order, int from, int inFlight) {
        int i = from;
        while (i < order.size() && order.get(i).inFlight() > inFlight) {
            i++;
        }
        return i;
    }

    private static List<Target> preferenceOrder(PickRequest request, List<Target> candidates) {
        Map<String, Target> remaining = new HashMap<>();
        candidates.forEach(t -> remaining.put(t.entry().id(), t));
        long hash = Hashes.of(request.key());
        List<Target> order = new ArrayList<>(candidates.size());
        for (String owner : request.shards().preferenceOrder(hash)) {
            Target t = remaining.remove(owner);
            if (t != null) {
                order.add(t);
            }
        }
        remaining.values().stream()
                .map(t -> new ScoredTarget(t, Rendezvous.score(hash, t.hash(), 1)))
                .sorted(Comparator.comparingDouble(s -> -s.score()))
                .forEach(s -> order.add(s.target()));
        return order;
    }

    private static Pick pickLeastLoaded(List<Target> order, long now) {
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

    /** Pairs a target with its score for a key. */
    private record ScoredTarget(Target target, double score) {}
}
