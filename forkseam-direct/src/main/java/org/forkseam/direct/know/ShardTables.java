package org.forkseam.direct.know;

import io.netty.channel.EventLoop;

import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.route.Pick;
import org.forkseam.core.route.ShardPlanner;
import org.forkseam.core.route.ShardTable;
import org.forkseam.core.route.SpillRate;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Follows the shard tables of engine pools, which are stored in shared rows, and proposes changes.
 * Any router proposes by compare-and-set; there is no leader. Confined to the event loop.
 *
 * @since 0.2
 */
public final class ShardTables {
    private static final long PLAN_PERIOD_MILLIS = 400;

    /**
     * Delay of proposals by other routers than the one that reads the rows, so that usually only
     * one proposes. Each proposal is a call to the store, and only one of them takes effect.
     */
    private static final long FALLBACK_PLAN_DELAY_MILLIS = 1_200;

    private static final long POOL_IDLE_MILLIS = 5_000;

    /**
     * Number of targets, after the first in the order of a key, that serve the key while the first
     * is unavailable.
     */
    private static final int MAX_FALLBACK_OWNERS = 2;

    private static final int MAX_PREVIOUS_OWNERS = 256;
    private static final String KEY_PREFIX = "seats/";

    private final EventLoop mLoop;
    private final Clock mClock;
    private final SharedRows mRows;
    private final RandomGenerator mRandom;
    private final TargetDirectory mTargets;
    private final Map<String, ShardTable> mTables = new HashMap<>();
    private final Map<String, ShardPlanner> mPlanners = new HashMap<>();
    private final Map<String, Long> mLastRequest = new HashMap<>();
    private final Map<String, SpillRate> mSpillRates = new HashMap<>();

    /**
     * Shard owners without the prompts of their keys: their shards were added under load, or they
     * have restarted.
     */
    private final Set<String> mColdOwners = new HashSet<>();

    private final Map<String, String> mPreviousOwners = BoundedMap.byInsertion(MAX_PREVIOUS_OWNERS);
    private final RowFollower mRowFollower;
    private final long mStartedAt;
    private boolean mProposing;
    private boolean mStopped;

    ShardTables(
            FollowerBase.Context context,
            SharedRows rows,
            RowFollower follower,
            TargetDirectory targets) {
        mLoop = context.loop();
        mClock = context.clock();
        mRows = rows;
        mRandom = context.random();
        mTargets = targets;
        mRowFollower = follower;
        mStartedAt = mClock.nowMillis();
    }

    // ---------------------------------------------------------------- queries

    /** Returns the shard table of a pool. */
    public ShardTable table(String pool) {
        return mTables.getOrDefault(pool, ShardTable.empty());
    }

    /**
     * Returns the targets that are likely to have processed the prompt of a key, the likeliest
     * first. Usually that is the order of the key. If its first target has taken over a shard, the
     * previous owner and the next targets in the order come first; if its shard was added, the next
     * target, which served the key before.
     */
    public List<String> likelyHolders(String pool, long keyHash) {
        List<String> order = table(pool).preferenceOrder(keyHash);
        if (order.isEmpty()) {
            return order;
        }
        String previous = mPreviousOwners.get(order.get(0));
        if (previous == null && !mColdOwners.contains(order.get(0))) {
            return order;
        }
        List<String> likely = new ArrayList<>(order);
        if (previous != null) {
            likely.add(Math.min(MAX_FALLBACK_OWNERS, likely.size() - 1), likely.remove(0));
            likely.add(0, previous);
        } else {
            // None of the recently added owners has processed the prompt.
            likely.removeIf(mColdOwners::contains);
            likely.add(Math.min(MAX_FALLBACK_OWNERS, likely.size()), order.get(0));
        }
        return likely;
    }

    /**
     * Returns whether routers infer from the shard table that a target has processed the prompt of
     * a key: it is the first in the order of the key and has not taken over its shard.
     */
    boolean isImpliedHolder(String pool, long keyHash, String targetId) {
        List<String> order = table(pool).preferenceOrder(keyHash);
        return !order.isEmpty()
                && order.get(0).equals(targetId)
                && !mPreviousOwners.containsKey(targetId)
                && !mColdOwners.contains(targetId);
    }

    Map<String, List<String>> dump() {
        Map<String, List<String>> m = new TreeMap<>();
        mTables.forEach((pool, table) -> m.put(pool, table.owners()));
        return m;
    }

    /** Records a request for a pool. */
    public void onRequest(String pool) {
        mLastRequest.put(pool, mClock.nowMillis());
    }

    /** Records why a target of an engine pool was selected. */
    public void onPick(String pool, Pick.Reason reason) {
        spillRate(pool).onPick(reason, mClock.nowMillis());
    }

    private SpillRate spillRate(String pool) {
        return mSpillRates.computeIfAbsent(pool, p -> SpillRate.startingAt(mClock.nowMillis()));
    }

    // ---------------------------------------------------------------- updates

    void stop() {
        mStopped = true;
    }

    /** Applies a changed shard table row; ignores other and removed rows. */
    void apply(SharedRow row) {
        if (!row.key().startsWith(KEY_PREFIX) || !row.exists()) {
            return;
        }
        String pool = row.key().substring(KEY_PREFIX.length());
        ShardTable table = ShardTable.of(Arrays.asList(row.value().split(",")));
        ShardTable before = table(pool);
        mTables.put(pool, table);
        if (!table.equals(before)) {
            updatePreviousOwners(before, table);
            updateColdOwners(pool, before, table);
            Event.always("seats")
                    .with("pool", pool)
                    .with("position", row.position())
                    .with("holders", table)
                    .log();
        }
    }

    private void updatePreviousOwners(ShardTable before, ShardTable after) {
        int both = Math.min(before.owners().size(), after.owners().size());
        for (int i = 0; i < both; i++) {
            String old = before.owners().get(i);
            String now = after.owners().get(i);
            if (!old.equals(now)) {
                mPreviousOwners.put(now, old);
            }
        }
    }

    /** Records the owners of shards that were added while the pool had requests. */
    private void updateColdOwners(String pool, ShardTable before, ShardTable after) {
        int previousSize = before.owners().size();
        if (previousSize > 0 && mLastRequest.containsKey(pool)) {
            after.owners().stream().skip(previousSize).forEach(mColdOwners::add);
        }
        mColdOwners.retainAll(allOwners());
    }

    /** Records that a target has restarted under its id and lost the prompts of its keys. */
    void onRestart(String targetId) {
        mPreviousOwners.remove(targetId);
        if (allOwners().contains(targetId)) {
            mColdOwners.add(targetId);
        }
    }

    private Set<String> allOwners() {
        Set<String> all = new HashSet<>();
        mTables.values().forEach(t -> all.addAll(t.owners()));
        return all;
    }

    // ---------------------------------------------------------------- proposing

    /** Schedules a proposal if the shard table of a pool should change. */
    void plan(TrafficConfig config) {
        long now = mClock.nowMillis();
        if (!mRowFollower.isCurrent() || mProposing || mStopped) {
            return;
        }
        for (Pool p : config.pools()) {
            if (p.engine() && nextTable(p.name(), now).isPresent()) {
                mProposing = true;
                long first = mRowFollower.isReader() ? 0 : FALLBACK_PLAN_DELAY_MILLIS;
                long pause = first + mRandom.nextLong(PLAN_PERIOD_MILLIS);
                mLoop.schedule(() -> propose(p.name()), pause, TimeUnit.MILLISECONDS);
                return;
            }
        }
    }

    long planPeriodMillis() {
        return PLAN_PERIOD_MILLIS;
    }

    private Optional<ShardTable> nextTable(String pool, long now) {
        ShardPlanner planner = mPlanners.computeIfAbsent(pool, p -> ShardPlanner.create());
        long last = Math.max(mStartedAt, mLastRequest.getOrDefault(pool, mStartedAt));
        ShardPlanner.Demand demand = ShardPlanner.Demand.BALANCED;
        if (now - last > POOL_IDLE_MILLIS) {
            demand = ShardPlanner.Demand.IDLE;
        } else if (spillRate(pool).isImbalanced(now)) {
            demand = ShardPlanner.Demand.SPILLING;
        }
        return planner.next(table(pool), mTargets.pool(pool), demand, now);
    }

    private void propose(String pool) {
        Optional<ShardTable> next = nextTable(pool, mClock.nowMillis());
        if (next.isEmpty() || mStopped) {
            mProposing = false;
            return;
        }
        String value = String.join(",", next.get().owners());
        mRows.compareAndSet(KEY_PREFIX + pool, value, mRowFollower.position(KEY_PREFIX + pool))
                .whenComplete(
                        (row, failure) -> {
                            mProposing = false;
                            if (failure == null) {
                                mRowFollower.onWritten(row);
                            } else {
                                RowFollower.logWriteFailure("seats", failure);
                            }
                        });
    }
}
