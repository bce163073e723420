package org.forkseam.core.route;

import org.forkseam.core.cfg.PoolSpec;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Places a request where the prompt tokens saved outweigh the wait expected.
 *
 * <p>Few targets are weighed, whatever the pool's size: the ticket's, the chat's homes, the holders
 * of the prompt's shared beginning, and some drawn at random for their load. Within the pool's
 * bound the score decides; a target over the bound comes after all that have room. The pool's
 * {@code prefer} sets what one token saved is worth against load.
 *
 * @since 0.1
 */
public final class StdPlacement implements Placement {
    private static final int DRAWN = 4;
    private static final double HOME_CHANCE = 0.7;
    private static final double TIE = 1e-3;

    /** Tokens that a load above the mean by the mean itself is worth. */
    private static final double LOAD_PRICE_REUSE = 600;

    /** What load below the mean counts for, against load above: a cached chat stays for it. */
    private static final double BELOW_MEAN = 0.1;

    private static final double LOAD_PRICE_SKEW = 1600;
    private static final double HEALTH_PRICE = 20_000;

    private final PrefixDirectory mPrefixes;
    private final RandomGenerator mRandom;

    private StdPlacement(PrefixDirectory prefixes, RandomGenerator random) {
        mPrefixes = prefixes;
        mRandom = random;
    }

    /** Creates a placement over a directory of shared beginnings. */
    public static StdPlacement of(PrefixDirectory prefixes, RandomGenerator random) {
        return new StdPlacement(prefixes, random);
    }

    @Override
    public List<Candidate> rank(PlacementRequest request, PoolView pool, long nowMillis) {
        Ranking r = new Ranking(request, pool, nowMillis);
        if (!pool.targets().isEmpty()) {
            r.gather();
        }
        return r.sorted();
    }

    /** Gathers the candidates of one request. */
    private final class Ranking {
        private final PlacementRequest mRequest;
        private final PoolView mPool;
        private final long mNow;
        private final boolean mDoubtful;
        private final double mPrice;
        private final List<Candidate> mFound = new ArrayList<>(16);

        Ranking(PlacementRequest request, PoolView pool, long nowMillis) {
            mRequest = request;
            mPool = pool;
            mNow = nowMillis;
            mDoubtful = pool.isDoubtful(nowMillis);
            boolean reuse = pool.spec().prefer() == PoolSpec.Preference.REUSE;
            mPrice = reuse ? LOAD_PRICE_REUSE : LOAD_PRICE_SKEW;
        }

        void gather() {
            addTicket();
            addHomes();
            for (PrefixDirectory.Entry e : mPrefixes.holders(mRequest.sharedPrefix())) {
                mPool.target(e.target())
                        .ifPresent(t -> add(t, sharedSaved(t, e), Candidate.Why.SHARED_PREFIX));
            }
            addDrawn();
        }

        private void addTicket() {
            ChatTicket k = mRequest.ticket().orElse(null);
            TargetView t = k == null ? null : mPool.target(k.target()).orElse(null);
            if (t == null) {
                return;
            }
            int held = Math.min(k.tokens(), mRequest.promptTokens());
            add(t, held * t.chanceHeld(mNow - k.atMillis()), Candidate.Why.TICKET);
        }

        private void addHomes() {
            // Without a ticket the last turn was most likely served by the first home.
            boolean guess = mRequest.returning() && mRequest.ticket().isEmpty();
            double chance = guess ? HOME_CHANCE : 0;
            for (int rank = 0; rank < mPool.homeCount(); rank++) {
                double saved = mRequest.promptTokens() * chance + TIE * (mPool.homeCount() - rank);
                add(mPool.home(mRequest.chat(), rank), saved, Candidate.Why.HOME);
                chance *= 1 - HOME_CHANCE;
            }
        }

        private void addDrawn() {
            List<TargetView> all = mPool.targets();
            boolean every = all.size() <= DRAWN * 4;
            int n = every ? all.size() : DRAWN;
            for (int i = 0; i < n; i++) {
                TargetView t = all.get(every ? i : mRandom.nextInt(all.size()));
                add(t, 0, Candidate.Why.LOW_LOAD);
            }
        }

        private double sharedSaved(TargetView t, PrefixDirectory.Entry e) {
            return mRequest.sharedTokens() * t.chanceHeld(mNow - e.atMillis());
        }

        private void add(TargetView t, double saved, Candidate.Why why) {
            double share = mDoubtful ? 1 : t.health().trafficShare(mNow);
            if (t.isLeaving(mNow) || share == 0) {
                return;
            }
            for (int i = 0; i < mFound.size(); i++) {
                Candidate c = mFound.get(i);
                if (c.target() == t) {
                    if (saved > c.savedTokens()) {
                        mFound.set(i, score(t, saved, share, why));
                    }
                    return;
                }
            }
            mFound.add(score(t, saved, share, why));
        }

        private Candidate score(TargetView t, double saved, double share, Candidate.Why why) {
            int load = t.estimatedLoad(mNow);
            double mean = Math.max(1.0 / t.capacity(), mPool.meanPerCapacity(mNow));
            double over = (load + 1.0) / t.capacity() / mean - 1;
            double price = over > 0 ? mPrice : mPrice * BELOW_MEAN;
            double score = saved - price * over - HEALTH_PRICE * (1 - share);
            return new Candidate(t, score, saved, load, mPool.limit(t, mNow), why);
        }

        List<Candidate> sorted() {
            mFound.sort(
                    Comparator.comparing((Candidate c) -> !c.hasRoom())
                            .thenComparing(
                                    Comparator.comparingDouble(Candidate::score).reversed()));
            return mFound;
        }
    }
}
