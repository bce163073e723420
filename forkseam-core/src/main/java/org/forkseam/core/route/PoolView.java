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
 * Holds a router's view of a pool: its targets and their home table.
 *
 * <p>A leaving target stays in the home table until the host list drops it, so that a target that
 * leaves and returns moves no chats. Not thread-safe.
 *
 * @since 0.1
 */
public final class PoolView {
    private final PoolSpec mSpec;
    private final List<TargetView> mTargets;
    private final Map<String, TargetView> mByName = new HashMap<>();
    private final Optional<HomeTable> mPreviousHomes;
    private HomeTable mHomeTable;
    private final long mTotalCapacity;
    private long mTotalLoadAtMillis = Long.MIN_VALUE;
    private long mTotalLoad;

    private PoolView(PoolSpec spec, List<TargetView> targets, Optional<HomeTable> previousHomes) {
        mSpec = spec;
        mTargets = targets;
        mPreviousHomes = previousHomes;
        targets.forEach(t -> mByName.put(t.name(), t));
        mTotalCapacity = targets.stream().mapToLong(TargetView::capacity).sum();
    }

    /** Creates a view of a pool with the given members. */
    public static PoolView of(PoolSpec spec, Collection<TargetView> members) {
        List<TargetView> sorted = sortByName(members);
        return new PoolView(spec, sorted, Optional.empty());
    }

    /** Returns a view of the same pool with changed members. */
    public PoolView with(PoolSpec spec, Collection<TargetView> members) {
        List<TargetView> sorted = sortByName(members);
        Optional<HomeTable> previous =
                mHomeTable == null ? mPreviousHomes : Optional.of(mHomeTable);
        return new PoolView(spec, sorted, previous);
    }

    private static List<TargetView> sortByName(Collection<TargetView> members) {
        List<TargetView> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(TargetView::name));
        return List.copyOf(sorted);
    }

    private static List<HomeTable.Member> tableMembers(List<TargetView> sorted) {
        return sorted.stream().map(t -> new HomeTable.Member(t.name(), t.capacity())).toList();
    }

    // ---------------------------------------------------------------- accessors

    /** Returns the pool's declaration. */
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

    /** Returns a chat's home of the given rank. */
    public TargetView home(long chat, int rank) {
        return mTargets.get(homeTable().home(chat, rank));
    }

    /** Returns the number of homes of each chat. */
    public int homeCount() {
        return homeTable().homesPerKey();
    }

    /** Built lazily, since sidecars do not use it. */
    private HomeTable homeTable() {
        if (mHomeTable == null) {
            List<HomeTable.Member> t = tableMembers(mTargets);
            mHomeTable = mPreviousHomes.map(o -> o.with(t)).orElseGet(() -> HomeTable.of(t));
        }
        return mHomeTable;
    }

    /** Returns the total capacity of the pool. */
    public long totalCapacity() {
        return mTotalCapacity;
    }

    /** Returns the total load of the pool; computed at most once per millisecond. */
    public long totalLoad(long nowMillis) {
        if (nowMillis != mTotalLoadAtMillis) {
            mTotalLoadAtMillis = nowMillis;
            mTotalLoad = 0;
            for (TargetView t : mTargets) {
                mTotalLoad += t.estimatedLoad(nowMillis);
            }
        }
        return mTotalLoad;
    }

    /** Returns the highest load allowed for a target if one more request is placed in the pool. */
    public int limit(TargetView target, long nowMillis) {
        return LoadBound.limit(
                mSpec.maxLoadMultiple(),
                totalLoad(nowMillis) + 1,
                target.capacity(),
                mTotalCapacity);
    }

    /** Returns the mean load per unit of capacity. */
    public double meanPerCapacity(long nowMillis) {
        return mTotalCapacity == 0 ? 0 : (double) totalLoad(nowMillis) / mTotalCapacity;
    }

    /**
     * Returns whether more than half of the targets are unhealthy, so that health data is ignored.
     */
    public boolean isInPanicMode(long nowMillis) {
        int unhealthy = 0;
        for (TargetView t : mTargets) {
            if (t.health().trafficShare(nowMillis) == 0) {
                unhealthy++;
            }
        }
        return unhealthy * 2 > mTargets.size();
    }
}
