package org.forkseam.core.route;

import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Creates textbook placement strategies to compare {@link CacheAwarePlacement} against.
 *
 * <p>Stateless; the placements created are used from one thread.
 */
public final class BaselinePlacements {
    private static final int MAX_CANDIDATES = 3;
    private static final int VIRTUAL_NODES = 100;

    private BaselinePlacements() {}

    /** Returns a placement that picks targets at random. */
    public static Placement random(RandomGenerator random) {
        return (request, pool, now) -> rankFrom(pool, random.nextInt(pool.targets().size()), now);
    }

    /** Returns a placement that picks targets in turn. */
    public static Placement roundRobin() {
        int[] next = {0};
        return (request, pool, now) -> rankFrom(pool, next[0]++ % pool.targets().size(), now);
    }

    /** Returns a placement by the power of two random choices. */
    public static Placement twoChoices(RandomGenerator random) {
        return (request, pool, now) -> {
            int n = pool.targets().size();
            TargetView a = pool.targets().get(random.nextInt(n));
            TargetView b = pool.targets().get(random.nextInt(n));
            boolean firstIsLess = a.estimatedLoad(now) <= b.estimatedLoad(now);
            List<Candidate> out = new ArrayList<>();
            addIfUsable(out, pool, firstIsLess ? a : b, now);
            addIfUsable(out, pool, firstIsLess ? b : a, now);
            rankFrom(pool, random.nextInt(n), now)
                    .forEach(c -> addIfUsable(out, pool, c.target(), now));
            return out;
        };
    }

    /** Returns a placement by a consistent hash ring that ignores load. */
    public static Placement consistentHash() {
        return new HashRing();
    }

    private static List<Candidate> rankFrom(PoolView pool, int start, long now) {
        List<Candidate> out = new ArrayList<>();
        int n = pool.targets().size();
        for (int i = 0; i < n && out.size() < MAX_CANDIDATES; i++) {
            addIfUsable(out, pool, pool.targets().get((start + i) % n), now);
        }
        return out;
    }

    private static void addIfUsable(List<Candidate> out, PoolView pool, TargetView t, long now) {
        boolean isPresent = out.stream().anyMatch(c -> c.target() == t);
        if (isPresent
                || t.isLeaving(now)
                || (t.health().trafficShare(now) == 0 && !pool.isInPanicMode(now))) {
            return;
        }
        out.add(
                new Candidate(
                        t,
                        0,
                        0,
                        t.estimatedLoad(now),
                        pool.limit(t, now),
                        Candidate.Reason.UNSCORED));
    }

    /** Ranks the targets that follow a request on the hash ring. */
    private static final class HashRing implements Placement {
        private final TreeMap<Long, TargetView> mPoints = new TreeMap<>();
        private PoolView mPool;

        @Override
        public List<Candidate> rank(PlacementRequest request, PoolView pool, long nowMillis) {
            if (pool != mPool) {
                build(pool);
            }
            List<Candidate> out = new ArrayList<>();
            long key = Hashes.mix(request.chat(), VIRTUAL_NODES);
            for (TargetView t : mPoints.tailMap(key).values()) {
                addIfUsable(out, pool, t, nowMillis);
                if (out.size() == MAX_CANDIDATES) {
                    return out;
                }
            }
            for (TargetView t : mPoints.values()) {
                addIfUsable(out, pool, t, nowMillis);
                if (out.size() == MAX_CANDIDATES) {
                    return out;
                }
            }
            return out;
        }

        private void build(PoolView pool) {
            mPoints.clear();
            mPool = pool;
            for (TargetView t : pool.targets()) {
                for (int i = 0; i < VIRTUAL_NODES; i++) {
                    mPoints.put(Hashes.mix(Hashes.of(t.name()), i), t);
                }
            }
        }
    }
}
