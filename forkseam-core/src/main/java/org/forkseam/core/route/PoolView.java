package org.forkseam.core.route;

import org.forkseam.core.cfg.PoolSpec;
import org.forkseam.core.load.LoadBound;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds what one router believes of one pool: its targets and their homes table.
 *
 * <p>A target that leaves stays in the homes table until the host list drops it, so that a flap
 * moves no chat. Not thread-safe.
 *
 * @since 0.1
 */
public final class PoolView {
    private final PoolSpec mSpec;
    private final List<TargetView> mTargets;
    private final Map<String, TargetView> mByName = new HashMap<>();
    private final Optional<HomeTable> mOlderHomes;
    private HomeTable mHomes;
    private final long mTotalCapacity;
    private long mSumAtMillis = Long.MIN_VALUE;
    private long mSum;

    private PoolView(PoolSpec spec, List<TargetView> targets, Optional<HomeTable> olderHomes) {
        mSpec = spec;
        mTargets = targets;
        mOlderHomes = olderHomes;
        targets.forEach(t -> mByName.put(t.name(), t));
        mTotalCapacity = targets.stream().mapToLong(TargetView::capacity).sum();
    }

    /** Creates the view of a pool with these members. */
    public static PoolView of(PoolSpec spec, Collection<TargetView> members) {
        List<TargetView> sorted = sort(members);
        return new PoolView(spec, sorted, Optional.empty());
    }

    /** Returns the view of the same pool with changed members. */
    public PoolView with(PoolSpec spec, Collection<TargetView> members) {
        List<TargetView> sorted = sort(members);
        Optional<HomeTable> older = mHomes == null ? mOlderHomes : Optional.of(mHomes);
        return new PoolView(spec, sorted, older);
    }

    private static List<TargetView> sort(Collection<TargetView> members) {
        List<TargetView> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(TargetView::name));
        return List.copyOf(sorted);
    }

    private static List<HomeTable.Member> table(List<TargetView> sorted) {
        return sorted.stream().map(t -> new HomeTable.Member(t.name(), t.capacity())).toList();
    }

    // ---------------------------------------------------------------- accessors

    /** Returns the pool as declared. */
    public PoolSpec spec() {
        return mSpec;
    }

    /** Returns the targets sorted by name. */
    public List<TargetView> targets() {
        return mTargets;
    }

    /** Returns a target by name. */
    public Optional<TargetView> target(String name) {
        return Optional.ofNullable(mByName.get(name));
    }

    /** Returns the target that is a chat's home of some rank. */
    public TargetView home(long chat, int rank) {
        return mTargets.get(homes().home(chat, rank));
    }

    /** Returns how many homes each chat has. */
    public int homeCount() {
        return homes().depth();
    }

    /** Sidecars never ask for homes, so the table is made at the first question. */
    private HomeTable homes() {
        if (mHomes == null) {
            List<HomeTable.Member> t = table(mTargets);
            mHomes = mOlderHomes.map(o -> o.with(t)).orElseGet(() -> HomeTable.of(t));
        }
        return mHomes;
    }

    /** Returns the capacity of the whole pool. */
    public long totalCapacity() {
        return mTotalCapacity;
    }

    /** Returns the load of the whole pool; summed at most once a millisecond. */
    public long totalLoad(long nowMillis) {
        if (nowMillis != mSumAtMillis) {
            mSumAtMillis = nowMillis;
            mSum = 0;
            for (TargetView t : mTargets) {
                mSum += t.estimatedLoad(nowMillis);
            }
        }
        return mSum;
    }

    /** Returns the most that a target may carry with one request more in the pool. */
    public int limit(TargetView target, long nowMillis) {
        return LoadBound.limit(
                mSpec.maxLoadMultiple(),
                totalLoad(nowMillis) + 1,
                target.capacity(),
                mTotalCapacity);
    }

    /** Returns the mean load of a unit of capacity. */
    public double meanPerCapacity(long nowMillis) {
        return mTotalCapacity == 0 ? 0 : (double) totalLoad(nowMillis) / mTotalCapacity;
    }

    /** Returns whether so many targets look dead that the view itself must be doubted. */
    public boolean isDoubtful(long nowMillis) {
        int dead = 0;
        for (TargetView t : mTargets) {
            if (t.health().trafficShare(nowMillis) == 0) {
                dead++;
            }
        }
        return dead * 2 > mTargets.size();
    }
}
