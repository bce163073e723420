package org.forkseam.core.route;

import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Makes the well-known placements that {@link StdPlacement} is measured against.
 *
 * <p>They share the rest of the path with it: sidecars' refusals, retries and drains.
 */
public final class Baselines {
    private static final int TRIES = 3;
    private static final int RING_POINTS = 100;

    private Baselines() {}

    /** Returns a placement that draws targets at random. */
    public static Placement random(RandomGenerator random) {
        return (request, pool, now) -> rotate(pool, random.nextInt(pool.targets().size()), now);
    }

    /** Returns a placement that takes targets in turn. */
    public static Placement roundRobin() {
        int[] next = {0};
        return (request, pool, now) -> rotate(pool, next[0]++ % pool.targets().size(), now);
    }

    /** Returns a placement that draws two targets and takes the less loaded first. */
    public static Placement twoChoices(RandomGenerator random) {
        return (request, pool, now) -> {
            int n = pool.targets().size();
            TargetView a = pool.targets().get(random.nextInt(n));
            TargetView b = pool.targets().get(random.nextInt(n));
            boolean first = a.estimatedLoad(now) <= b.estimatedLoad(now);
            List<Candidate> out = new ArrayList<>();
            append(out, pool, first ? a : b, now);
            append(out, pool, first ? b : a, now);
            rotate(pool, random.nextInt(n), now).forEach(c -> append(out, pool, c.target(), now));
            return out;
        };
    }

    /** Returns a placement by a plain consistent hash ring without regard to load. */
    public static Placement consistentHash() {
        return new Ring();
    }

    private static List<Candidate> rotate(PoolView pool, int start, long now) {
        List<Candidate> out = new ArrayList<>();
        int n = pool.targets().size();
        for (int i = 0; i < n && out.size() < TRIES; i++) {
            append(out, pool, pool.targets().get((start + i) % n), now);
        }
        return out;
    }

    private static void append(List<Candidate> out, PoolView pool, TargetView t, long now) {
        boolean known = out.stream().anyMatch(c -> c.target() == t);
        if (known
                || t.isLeaving(now)
                || (t.health().trafficShare(now) == 0 && !pool.isDoubtful(now))) {
            return;
        }
        out.add(
                new Candidate(
                        t, 0, 0, t.estimatedLoad(now), pool.limit(t, now), Candidate.Why.UNSCORED));
    }

    /** Places by the next points on a ring of hashes. */
    private static final class Ring implements Placement {
        private final TreeMap<Long, TargetView> mPoints = new TreeMap<>();
        private PoolView mBuiltFor;

        @Override
        public List<Candidate> rank(PlacementRequest request, PoolView pool, long nowMillis) {
            if (pool != mBuiltFor) {
                build(pool);
            }
            List<Candidate> out = new ArrayList<>();
            long key = Hashes.mix(request.chat(), RING_POINTS);
            for (TargetView t : mPoints.tailMap(key).values()) {
                append(out, pool, t, nowMillis);
                if (out.size() == TRIES) {
                    return out;
                }
            }
            for (TargetView t : mPoints.values()) {
                append(out, pool, t, nowMillis);
                if (out.size() == TRIES) {
                    return out;
                }
            }
            return out;
        }

        private void build(PoolView pool) {
            mPoints.clear();
            mBuiltFor = pool;
            for (TargetView t : pool.targets()) {
                for (int i = 0; i < RING_POINTS; i++) {
                    mPoints.put(Hashes.mix(Hashes.of(t.name()), i), t);
                }
            }
        }
    }
}
