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
 * Keeps the seats of engine pools in rows that all routers share. Any router proposes a change by
 * compare-and-set; none is set aside for it. Used on the event loop.
 *
 * @since 0.2
 */
public final class Seats {
    /** The pool is looked at so often. */
    private static final long PLAN_MILLIS = 400;

    /**
     * The router that reads for all proposes first, and the others only if nothing came of it: of
     * several proposals one takes effect, and each is a call. Three times the pause between two
     * looks at the pool; not measured by itself. Unit: milliseconds.
     */
    private static final long OTHERS_PLAN_MILLIS = 1_200;

    /** A pool without a request for so long is idle. */
    private static final long IDLE_MILLIS = 5_000;

    /** Targets after the first in a key's order that serve the key while the first is away. */
    private static final int NEXT_IN_ORDER = 2;

    private static final int MAX_PREVIOUS = 256;
    private static final String SEATS = "seats/";

    private final EventLoop mLoop;
    private final Clock mClock;
    private final SharedRows mRows;
    private final RandomGenerator mRandom;
    private final TargetDirectory mTargets;
    private final Map<String, ShardTable> mTables = new HashMap<>();
    private final Map<String, ShardPlanner> mPlanners = new HashMap<>();
    private final Map<String, Long> mLastRequest = new HashMap<>();
    private final Map<String, SpillRate> mSpills = new HashMap<>();

    /** Holders of seats that have not read what their keys' others have: new, or started again. */
    private final Set<String> mAddedWhileBusy = new HashSet<>();

    private final Map<String, String> mPrevious = BoundedMap.byInsertion(MAX_PREVIOUS);
    private final RowFollower mFollower;
    private final long mStarted;
    private boolean mProposing;
    private boolean mStopped;

    Seats(
            FollowerBase.Surroundings around,
            SharedRows rows,
            RowFollower follower,
            TargetDirectory targets) {
        mLoop = around.loop();
        mClock = around.clock();
        mRows = rows;
        mRandom = around.random();
        mTargets = targets;
        mFollower = follower;
        mStarted = mClock.nowMillis();
    }

    // ---------------------------------------------------------------- use

    /** Returns the seats of a pool. */
    public ShardTable table(String pool) {
        return mTables.getOrDefault(pool, ShardTable.empty());
    }

    /**
     * Returns the targets that are likely to have read the prompt of a key, the likeliest first.
     * That is the first in the key's order; if that one has taken its seat from another, it is the
     * other, or those next in the order, which served the key while the seat was vacant; if its
     * seat was added, it is the next, which had the key before.
     */
    public List<String> likelyHolders(String pool, long keyHash) {
        List<String> order = table(pool).preferenceOrder(keyHash);
        if (order.isEmpty()) {
            return order;
        }
        String previous = mPrevious.get(order.get(0));
        if (previous == null && !mAddedWhileBusy.contains(order.get(0))) {
            return order;
        }
        List<String> likely = new ArrayList<>(order);
        if (previous != null) {
            likely.add(Math.min(NEXT_IN_ORDER, likely.size() - 1), likely.remove(0));
            likely.add(0, previous);
        } else {
            // Several seats are added at once: none of those has read the prompt.
            likely.removeIf(mAddedWhileBusy::contains);
            likely.add(Math.min(NEXT_IN_ORDER, likely.size()), order.get(0));
        }
        return likely;
    }

    /**
     * Returns whether all routers take it for granted that a target has read the prompt of a key:
     * it is the first in the key's order, and has not taken its seat from another.
     */
    boolean tellsOf(String pool, long keyHash, String targetId) {
        List<String> order = table(pool).preferenceOrder(keyHash);
        return !order.isEmpty()
                && order.get(0).equals(targetId)
                && !mPrevious.containsKey(targetId)
                && !mAddedWhileBusy.contains(targetId);
    }

    /** Returns the holders of each pool's seats. */
    Map<String, List<String>> dump() {
        Map<String, List<String>> m = new TreeMap<>();
        mTables.forEach((pool, table) -> m.put(pool, table.owners()));
        return m;
    }

    /** Notes a request for a pool. */
    public void onRequest(String pool) {
        mLastRequest.put(pool, mClock.nowMillis());
    }

    /** Notes why a target of an engine pool was chosen. */
    public void onPick(String pool, Pick.Reason reason) {
        spills(pool).onPick(reason, mClock.nowMillis());
    }

    private SpillRate spills(String pool) {
        return mSpills.computeIfAbsent(pool, p -> SpillRate.startingAt(mClock.nowMillis()));
    }

    // ---------------------------------------------------------------- following

    void stop() {
        mStopped = true;
    }

    /** Takes in a row that changed, if it is one of seats; one that vanished changes nothing. */
    void take(SharedRow row) {
        if (!row.key().startsWith(SEATS) || !row.exists()) {
            return;
        }
        String pool = row.key().substring(SEATS.length());
        ShardTable table = ShardTable.of(Arrays.asList(row.value().split(",")));
        ShardTable before = table(pool);
        mTables.put(pool, table);
        if (!table.equals(before)) {
            notePrevious(before, table);
            noteAdded(pool, before, table);
            Event.always("seats")
                    .with("pool", pool)
                    .with("position", row.position())
                    .with("holders", table)
                    .log();
        }
    }

    private void notePrevious(ShardTable before, ShardTable after) {
        int both = Math.min(before.owners().size(), after.owners().size());
        for (int i = 0; i < both; i++) {
            String old = before.owners().get(i);
            String now = after.owners().get(i);
            if (!old.equals(now)) {
                mPrevious.put(now, old);
            }
        }
    }

    /** Notes the holders of seats that were added while the pool had requests. */
    private void noteAdded(String pool, ShardTable before, ShardTable after) {
        int known = before.owners().size();
        if (known > 0 && mLastRequest.containsKey(pool)) {
            after.owners().stream().skip(known).forEach(mAddedWhileBusy::add);
        }
        mAddedWhileBusy.retainAll(allHolders());
    }

    /** Notes that a target has started again under its id: it has not read what its seat tells. */
    void onRestart(String targetId) {
        mPrevious.remove(targetId);
        if (allHolders().contains(targetId)) {
            mAddedWhileBusy.add(targetId);
        }
    }

    private Set<String> allHolders() {
        Set<String> all = new HashSet<>();
        mTables.values().forEach(t -> all.addAll(t.owners()));
        return all;
    }

    // ---------------------------------------------------------------- proposing

    /** Looks whether a pool's seats should change, and proposes it after a random moment. */
    void plan(TrafficConfig config) {
        long now = mClock.nowMillis();
        if (!mFollower.isCurrent() || mProposing || mStopped) {
            return;
        }
        for (Pool p : config.pools()) {
            if (p.engine() && next(p.name(), now).isPresent()) {
                mProposing = true;
                long first = mFollower.isReader() ? 0 : OTHERS_PLAN_MILLIS;
                long pause = first + mRandom.nextLong(PLAN_MILLIS);
                mLoop.schedule(() -> propose(p.name()), pause, TimeUnit.MILLISECONDS);
                return;
            }
        }
    }

    long planMillis() {
        return PLAN_MILLIS;
    }

    private Optional<ShardTable> next(String pool, long now) {
        ShardPlanner planner = mPlanners.computeIfAbsent(pool, p -> ShardPlanner.create());
        long last = Math.max(mStarted, mLastRequest.getOrDefault(pool, mStarted));
        ShardPlanner.Demand demand = ShardPlanner.Demand.BALANCED;
        if (now - last > IDLE_MILLIS) {
            demand = ShardPlanner.Demand.IDLE;
        } else if (spills(pool).isImbalanced(now)) {
            demand = ShardPlanner.Demand.SPILLING;
        }
        return planner.next(table(pool), mTargets.pool(pool), demand, now);
    }

    private void propose(String pool) {
        Optional<ShardTable> next = next(pool, mClock.nowMillis());
        if (next.isEmpty() || mStopped) {
            mProposing = false;
            return;
        }
        String value = String.join(",", next.get().owners());
        mRows.compareAndSet(SEATS + pool, value, mFollower.position(SEATS + pool))
                .whenComplete(
                        (row, failure) -> {
                            mProposing = false;
                            if (failure == null) {
                                mFollower.onWritten(row);
                            } else {
                                RowFollower.logNotWritten("seats", failure);
                            }
                        });
    }
}
