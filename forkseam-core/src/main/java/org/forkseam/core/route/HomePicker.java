package org.forkseam.core.route;

import org.forkseam.core.member.Target;
import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Prefers the same target for the same key, within a bound on load.
 *
 * <p>The order of preference is by rendezvous hashing, so all routers with the same list agree on
 * it without a message. A target over the bound is passed over.
 *
 * @since 0.2
 */
public final class HomePicker implements TargetPicker {
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
    public Optional<Pick> pick(String key, List<Target> candidates, long now) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        long hash = Hashes.of(key);
        List<Scored> order = new ArrayList<>(candidates.size());
        long total = 0;
        long own = 0;
        for (Target t : candidates) {
            order.add(new Scored(t, Rendezvous.score(hash, t.hash(), 1)));
            total += load(t, now);
            own += t.inFlight();
        }
        order.sort(Comparator.comparingDouble(s -> -s.score()));
        double bound = bound(total, candidates.size());
        double ownBound = bound(own, candidates.size());
        for (int i = 0; i < order.size(); i++) {
            Target t = order.get(i).target();
            if (load(t, now) < bound && t.inFlight() < ownBound) {
                Pick.Reason why = i == 0 ? Pick.Reason.HOME : Pick.Reason.SPILL;
                return Optional.of(new Pick(t, i, why, load(t, now)));
            }
        }
        return Optional.of(leastLoaded(order, now));
    }

    private double bound(long total, int count) {
        return mMultiple * total / count + mMargin;
    }

    private static Pick leastLoaded(List<Scored> order, long now) {
        int best = 0;
        for (int i = 1; i < order.size(); i++) {
            if (load(order.get(i).target(), now) < load(order.get(best).target(), now)) {
                best = i;
            }
        }
        Target t = order.get(best).target();
        return new Pick(t, best, Pick.Reason.ALL_LOADED, load(t, now));
    }

    private static int load(Target t, long now) {
        return t.inFlight() + t.othersInFlight(now);
    }

    /** Holds a candidate and its place for a key. */
    private record Scored(Target target, double score) {}
}
