package org.forkseam.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Hands out a request's candidates one after another.
 *
 * <p>After a failure another failure domain goes first, since what failed is likely to be shared;
 * after a refusal the order stands, with what the refusal taught of the targets' load. Not
 * thread-safe; one for each request.
 *
 * @since 0.1
 */
public final class SpillOrder {
    private final List<Candidate> mLeft;
    private String mFailedDomain = "";

    private SpillOrder(List<Candidate> candidates) {
        mLeft = new ArrayList<>(candidates);
    }

    /** Creates the order of a request's candidates, the best first. */
    public static SpillOrder of(List<Candidate> candidates) {
        return new SpillOrder(candidates);
    }

    /** Notes that a target failed, rather than refused. */
    public void onFailure(TargetView target) {
        mFailedDomain = target.failureDomain();
    }

    /** Takes the next candidate, leaving out targets that have said meanwhile that they leave. */
    public Optional<Candidate> next(PoolView pool, long nowMillis) {
        mLeft.removeIf(c -> c.target().isLeaving(nowMillis));
        Optional<Candidate> best =
                mLeft.stream()
                        .min(
                                Comparator.comparing(
                                                (Candidate c) ->
                                                        c.target()
                                                                .failureDomain()
                                                                .equals(mFailedDomain))
                                        .thenComparing(c -> !roomNow(c, pool, nowMillis)));
        best.ifPresent(mLeft::remove);
        return best;
    }

    private static boolean roomNow(Candidate c, PoolView pool, long now) {
        return c.target().estimatedLoad(now) + 1 <= pool.limit(c.target(), now);
    }
}
