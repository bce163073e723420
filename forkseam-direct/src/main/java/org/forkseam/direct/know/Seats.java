package org.forkseam.direct.know;

import io.netty.channel.EventLoop;

import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.route.SeatPlanner;
import org.forkseam.core.route.SeatTable;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;
import org.forkseam.direct.spi.Versioned;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Keeps the seats of engine pools, and the names of the other routers, in rows that all routers
 * share. Any router proposes a change by compare-and-set; none is set aside for it. Used on the
 * event loop.
 *
 * @since 0.2
 */
public final class Seats {
    /** Changes are told at once; a wait is begun anew after so long to notice a lost one. */
    private static final long WAIT_MILLIS = 5_000;

    private static final long RETRY_MILLIS = 700;

    /** The pool is looked at so often. */
    private static final long PLAN_MILLIS = 400;

    /** A pool without a request for so long is idle. */
    private static final long IDLE_MILLIS = 5_000;

    /** Targets after the first in a key's order that serve the key while the first is away. */
    private static final int NEXT_IN_ORDER = 2;

    private static final int MAX_PREVIOUS = 256;
    private static final String SEATS = "seats/";
    private static final String ROUTER = "router/";

    private final EventLoop mLoop;
    private final Clock mClock;
    private final SharedRows mRows;
    private final RandomGenerator mRandom;
    private final String mHost;
    private final String mAddress;
    private final TargetDirectory mTargets;
    private final Map<String, SeatTable> mTables = new HashMap<>();
    private final Map<String, Long> mRevisions = new HashMap<>();
    private final Map<String, SeatPlanner> mPlanners = new HashMap<>();
    private final Map<String, Long> mLastRequest = new HashMap<>();
    private final Map<String, String> mPrevious = BoundedMap.byInsertion(MAX_PREVIOUS);
    private final Map<String, String> mRouters = new HashMap<>();
    private final long mStarted;
    private long mRevision;
    private boolean mRead;
    private boolean mProposing;
    private boolean mStopped;

    /**
     * Names a router to the others.
     *
     * @param host name of its host
     * @param address where it takes notices, IP:PORT
     */
    record Self(String host, String address) {}

    Seats(
            EventLoop loop,
            Clock clock,
            SharedRows rows,
            RandomGenerator random,
            Self self,
            TargetDirectory targets) {
        mLoop = loop;
        mClock = clock;
        mRows = rows;
        mRandom = random;
        mHost = self.host();
        mAddress = self.address();
        mTargets = targets;
        mStarted = clock.nowMillis();
    }

    // ---------------------------------------------------------------- use

    /** Returns the seats of a pool. */
    public SeatTable table(String pool) {
        return mTables.getOrDefault(pool, SeatTable.empty());
    }

    /**
     * Returns the targets that are likely to have read the prompt of a key, the likeliest first.
     * That is the first in the key's order; if that one has taken its seat from another, it is the
     * other, or those next in the order, which served the key while the seat was vacant.
     */
    public List<String> likelyHolders(String pool, long keyHash) {
        List<String> order = table(pool).order(keyHash);
        String previous = order.isEmpty() ? null : mPrevious.get(order.get(0));
        if (previous == null) {
            return order;
        }
        List<String> likely = new ArrayList<>(order);
        likely.add(Math.min(NEXT_IN_ORDER, likely.size() - 1), likely.remove(0));
        likely.add(0, previous);
        return likely;
    }

    /** Notes a request for a pool. */
    public void onRequest(String pool) {
        mLastRequest.put(pool, mClock.nowMillis());
    }

    /** Returns the number of routers known, at least this one. */
    public int routers() {
        return Math.max(1, mRouters.size());
    }

    /** Returns where the other routers take notices. */
    List<String> otherRouters() {
        return mRouters.entrySet().stream()
                .filter(e -> !e.getKey().equals(mHost))
                .map(Map.Entry::getValue)
                .toList();
    }

    // ---------------------------------------------------------------- following

    void start() {
        readAll();
        mRows.put(ROUTER + mHost, mAddress).exceptionally(e -> logFailure("register", e));
        mLoop.schedule(this::registerAgain, WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Removes this router's name, so that the others reckon with one router less. */
    void stop() {
        mStopped = true;
        mRows.remove(ROUTER + mHost).exceptionally(e -> logFailure("unregister", e));
    }

    private void registerAgain() {
        if (!mStopped && !mRouters.containsKey(mHost)) {
            mRows.put(ROUTER + mHost, mAddress).exceptionally(e -> logFailure("register", e));
            mLoop.schedule(this::registerAgain, WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void readAll() {
        if (!mStopped) {
            mRows.readAll().whenComplete(this::onRows);
        }
    }

    private void await() {
        if (!mStopped) {
            mRows.awaitChanges(mRevision, WAIT_MILLIS).whenComplete(this::onRows);
        }
    }

    private void onRows(Versioned<List<SharedRow>> read, Throwable failure) {
        if (failure != null) {
            mLoop.schedule(this::readAll, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        mRead = true;
        mRevision = Math.max(mRevision, read.revision());
        read.value().forEach(this::take);
        await();
    }

    private void take(SharedRow row) {
        if (row.key().startsWith(ROUTER)) {
            takeRouter(row);
            return;
        }
        if (!row.key().startsWith(SEATS) || row.revision() == 0) {
            return;
        }
        String pool = row.key().substring(SEATS.length());
        if (row.revision() <= mRevisions.getOrDefault(pool, 0L)) {
            return;
        }
        mRevisions.put(pool, row.revision());
        SeatTable table = SeatTable.of(Arrays.asList(row.value().split(",")));
        SeatTable before = table(pool);
        mTables.put(pool, table);
        if (!table.equals(before)) {
            notePrevious(before, table);
            Event.always("seats")
                    .with("pool", pool)
                    .with("revision", row.revision())
                    .with("holders", table)
                    .log();
        }
    }

    private void notePrevious(SeatTable before, SeatTable after) {
        int both = Math.min(before.holders().size(), after.holders().size());
        for (int i = 0; i < both; i++) {
            String old = before.holders().get(i);
            String now = after.holders().get(i);
            if (!old.equals(now)) {
                mPrevious.put(now, old);
            }
        }
    }

    private void takeRouter(SharedRow row) {
        String name = row.key().substring(ROUTER.length());
        if (row.value().isEmpty()) {
            mRouters.remove(name);
        } else {
            mRouters.put(name, row.value());
        }
    }

    // ---------------------------------------------------------------- proposing

    /** Looks whether a pool's seats should change, and proposes it after a random moment. */
    void plan(TrafficConfig config) {
        long now = mClock.nowMillis();
        if (!mRead || mProposing || mStopped) {
            return;
        }
        for (Pool p : config.pools()) {
            if (p.engine() && next(p.name(), now).isPresent()) {
                mProposing = true;
                long pause = mRandom.nextLong(PLAN_MILLIS);
                mLoop.schedule(() -> propose(p.name()), pause, TimeUnit.MILLISECONDS);
                return;
            }
        }
    }

    long planMillis() {
        return PLAN_MILLIS;
    }

    private Optional<SeatTable> next(String pool, long now) {
        SeatPlanner planner = mPlanners.computeIfAbsent(pool, p -> SeatPlanner.create());
        long last = Math.max(mStarted, mLastRequest.getOrDefault(pool, mStarted));
        boolean idle = now - last > IDLE_MILLIS;
        return planner.next(table(pool), mTargets.pool(pool), idle, now);
    }

    private void propose(String pool) {
        Optional<SeatTable> next = next(pool, mClock.nowMillis());
        if (next.isEmpty() || mStopped) {
            mProposing = false;
            return;
        }
        String value = String.join(",", next.get().holders());
        mRows.compareAndSet(SEATS + pool, value, mRevisions.getOrDefault(pool, 0L))
                .whenComplete(
                        (row, failure) -> {
                            mProposing = false;
                            if (failure == null) {
                                take(row);
                            } else {
                                logFailure("seats", failure);
                            }
                        });
    }

    private Void logFailure(String what, Throwable e) {
        Event.of("shared_row_not_written").with("row", what).with("cause", e.getMessage()).log();
        return null;
    }
}
