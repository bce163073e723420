package org.forkseam.core.route;

import org.forkseam.core.cfg.PoolSpec;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Ranks targets by the prompt tokens expected to be cached, less a cost for load.
 *
 * <p>Considers only a few targets regardless of the pool's size: the ticket's target, the chat's
 * homes, recent targets of the shared prefix, and some sampled at random. Candidates within the
 * pool's load bound are ranked by score and precede those over the bound. The pool's {@code prefer}
 * setting determines the weight of load against cached tokens. Not thread-safe.
 *
 * @since 0.1
 */
public final class CacheAwarePlacement implements Placement {
    private static final int RANDOM_CANDIDATES = 4;
    private static final double HOME_HIT_PROBABILITY = 0.7;
    private static final double TIE_BREAK = 1e-3;

    /** Cost, in tokens, of a load of twice the mean. */
    private static final double LOAD_COST_REUSE = 600;

    /** Weight of load below the mean, relative to load above it. */
    private static final double BELOW_MEAN_FACTOR = 0.1;

    private static final double LOAD_COST_SKEW = 1600;
    private static final double HEALTH_COST = 20_000;

    private final PrefixDirectory mPrefixes;
    private final RandomGenerator mRandom;

    private CacheAwarePlacement(PrefixDirectory prefixes, RandomGenerator random) {
        mPrefixes = prefixes;
        mRandom = random;
    }

    /** Creates a placement that uses a directory of shared prefixes. */
    public static CacheAwarePlacement of(PrefixDirectory prefixes, RandomGenerator random) {
        return new CacheAwarePlacement(prefixes, random);
    }

    @Override
    public List<Candidate> rank(PlacementRequest request, PoolView pool, long nowMillis) {
        Ranking ranking = new Ranking(request, pool, nowMillis);
        if (!pool.targets().isEmpty()) {
            ranking.collect();
        }
        return ranking.sorted();
    }

    /** Collects and scores the candidates of one request. */
    private final class Ranking {
        private final PlacementRequest mRequest;
        private final PoolView mPool;
        private final long mNow;
        private final boolean mPanicMode;
        private final double mLoadCost;
        private final List<Candidate> mCandidates = new ArrayList<>(16);

        Ranking(PlacementRequest request, PoolView pool, long nowMillis) {
            mRequest = request;
            mPool = pool;
            mNow = nowMillis;
            mPanicMode = pool.isInPanicMode(nowMillis);
            boolean preferReuse = pool.spec().prefer() == PoolSpec.Preference.REUSE;
            mLoadCost = preferReuse ? LOAD_COST_REUSE : LOAD_COST_SKEW;
        }

        void collect() {
            addTicketTarget();
            addHomes();
            for (PrefixDirectory.Entry e : mPrefixes.holders(mRequest.sharedPrefix())) {
                mPool.target(e.target())
                        .ifPresent(
                                t ->
                                        add(
                                                t,
                                                expectedSharedTokens(t, e),
                                                Candidate.Reason.SHARED_PREFIX));
            }
            addRandomTargets();
        }

        private void addTicketTarget() {
            ChatTicket ticket = mRequest.ticket().orElse(null);
            TargetView t = ticket == null ? null : mPool.target(ticket.target()).orElse(null);
            if (t == null) {
                return;
            }
            int cachedTokens = Math.min(ticket.tokens(), mRequest.promptTokens());
            add(
                    t,
                    cachedTokens * t.hitProbability(mNow - ticket.atMillis()),
                    Candidate.Reason.TICKET);
        }

        private void addHomes() {
            // Without a ticket, the last turn was most likely served by the first home.
            boolean useHomes = mRequest.hasHistory() && mRequest.ticket().isEmpty();
            double hitProbability = useHomes ? HOME_HIT_PROBABILITY : 0;
            for (int rank = 0; rank < mPool.homeCount(); rank++) {
                double saved =
                        mRequest.promptTokens() * hitProbability
                                + TIE_BREAK * (mPool.homeCount() - rank);
                add(mPool.home(mRequest.chat(), rank), saved, Candidate.Reason.HOME);
                hitProbability *= 1 - HOME_HIT_PROBABILITY;
            }
        }

        private void addRandomTargets() {
            List<TargetView> all = mPool.targets();
            boolean takeAll = all.size() <= RANDOM_CANDIDATES * 4;
            int n = takeAll ? all.size() : RANDOM_CANDIDATES;
            for (int i = 0; i < n; i++) {
                TargetView t = all.get(takeAll ? i : mRandom.nextInt(all.size()));
                add(t, 0, Candidate.Reason.LOW_LOAD);
            }
        }

        private double expectedSharedTokens(TargetView t, PrefixDirectory.Entry e) {
            return mRequest.sharedTokens() * t.hitProbability(mNow - e.atMillis());
        }

        private void add(TargetView t, double saved, Candidate.Reason reason) {
            double healthShare = mPanicMode ? 1 : t.health().trafficShare(mNow);
            if (t.isLeaving(mNow) || healthShare == 0) {
                return;
            }
            for (int i = 0; i < mCandidates.size(); i++) {
                Candidate c = mCandidates.get(i);
                if (c.target() == t) {
                    if (saved > c.savedTokens()) {
                        mCandidates.set(i, score(t, saved, healthShare, reason));
                    }
                    return;
                }
            }
            mCandidates.add(score(t, saved, healthShare, reason));
        }

        private Candidate score(
                TargetView t, double saved, double healthShare, Candidate.Reason reason) {
            int load = t.estimatedLoad(mNow);
            double mean = Math.max(1.0 / t.capacity(), mPool.meanPerCapacity(mNow));
            double excess = (load + 1.0) / t.capacity() / mean - 1;
            double cost = excess > 0 ? mLoadCost : mLoadCost * BELOW_MEAN_FACTOR;
            double score = saved - cost * excess - HEALTH_COST * (1 - healthShare);
            return new Candidate(t, score, saved, load, mPool.limit(t, mNow), reason);
        }

        List<Candidate> sorted() {
            mCandidates.sort(
                    Comparator.comparing((Candidate c) -> !c.hasCapacity())
                            .thenComparing(
                                    Comparator.comparingDouble(Candidate::score).reversed()));
            return mCandidates;
        }
    }
}
