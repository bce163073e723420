package org.forkseam.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Returns the candidates of a request one at a time.
 *
 * <p>After a failure, candidates of other failure domains go first, since the cause may be shared.
 * After a refusal, the order is kept but candidates without capacity go last. Not thread-safe; one
 * instance per request.
 *
 * @since 0.1
 */
public final class CandidateQueue {
    private final List<Candidate> mRemaining;
    private String mFailedDomain = "";

    private CandidateQueue(List<Candidate> candidates) {
        mRemaining = new ArrayList<>(candidates);
    }

    /** Creates a queue of candidates given best first. */
    public static CandidateQueue of(List<Candidate> candidates) {
        return new CandidateQueue(candidates);
    }

    /** Records that a target failed, as opposed to refusing the request. */
    public void onFailure(TargetView target) {
        mFailedDomain = target.failureDomain();
    }

    /** Removes and returns the next candidate, skipping targets that are leaving by now. */
    public Optional<Candidate> next(PoolView pool, long nowMillis) {
        mRemaining.removeIf(c -> c.target().isLeaving(nowMillis));
        Optional<Candidate> best =
                mRemaining.stream()
                        .min(
                                Comparator.comparing(
                                                (Candidate c) ->
                                                        c.target()
                                                                .failureDomain()
                                                                .equals(mFailedDomain))
                                        .thenComparing(c -> !hasCapacityNow(c, pool, nowMillis)));
        best.ifPresent(mRemaining::remove);
        return best;
    }

    private static boolean hasCapacityNow(Candidate c, PoolView pool, long now) {
        return c.target().estimatedLoad(now) + 1 <= pool.limit(c.target(), now);
    }
}
