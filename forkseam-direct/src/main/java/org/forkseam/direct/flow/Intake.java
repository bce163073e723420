package org.forkseam.direct.flow;

import org.forkseam.core.util.Clock;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Holds the requests that have been read until they are begun, in the order in which they came.
 * Used on the event loop.
 *
 * <p>A router that keeps up begins each at once. One that is behind, after a start, a freeze or on
 * a slow host, has a backlog whose callers may have left, which it has not read yet: it begins a
 * request that waited unread only when a close that followed it would have been read as well. On
 * hosts with 0.35 of a core, 111 requests reached targets over half a second after their callers
 * had left without this, and none with it. It begins in small batches and reads in between, so that
 * the answers of requests under way are not held up by those that follow.
 *
 * <p>Newest first was measured as well: about as many more are answered in time as then fail, since
 * the callers of the oldest leave. So was leaving connections unread until there is room: a caller
 * whose request is not read within a second gives it up. docs/design/deciding-under-load.md holds
 * the figures.
 */
final class Intake {
    /** The loop goes back to reading after it has begun requests for so long. Unit: ms. */
    private static final long BATCH_MILLIS = 5;

    private final Clock mClock;
    private final Arrivals mArrivals;
    private final Turns mTurns;
    private final List<Waiting> mWaiting = new ArrayList<>();
    private boolean mPlanned;

    /** Runs tasks on the event loop. */
    interface Turns {
        /** Runs a task in this turn of the loop, after all that can be read was read. */
        void inThisTurn(Runnable task);

        /**
         * Runs a task in the next turn of the loop, after all that can be read was read. To be
         * called by tasks only.
         */
        void inNextTurn(Runnable task);
    }

    /** Is a request that has been read and not begun. */
    interface Item {
        /** Returns when it came. */
        Arrival arrival();

        /** Prepares the request if that can be done by now; it may end by this. */
        Readiness prepare();

        /** Returns whether the request has ended: it was answered, or its caller has left. */
        boolean isDone();

        /** Begins it. */
        void begin();
    }

    /** Says whether a request can be begun. */
    enum Readiness {
        /** It can. */
        READY,
        /** The router does not know enough yet. */
        NOT_YET,
        /** It has ended. */
        DONE
    }

    /** Is an item, and whether a close that followed it would have been read by now. */
    private static final class Waiting {
        private final Item mItem;
        private boolean mCloseSeen;

        Waiting(Item item) {
            mItem = item;
            mCloseSeen = !item.arrival().isLate();
        }

        Item item() {
            return mItem;
        }
    }

    Intake(Clock clock, Arrivals arrivals, Turns turns) {
        mClock = clock;
        mArrivals = arrivals;
        mTurns = turns;
    }

    /** Takes a request that has just been read. */
    void add(Item item) {
        Waiting w = new Waiting(item);
        mWaiting.add(w);
        if (w.mCloseSeen) {
            plan();
            return;
        }
        // A close that came while nothing was read is found one turn after the request.
        mTurns.inThisTurn(
                () -> {
                    mArrivals.onTurn();
                    mTurns.inNextTurn(() -> onCloseSeen(w));
                });
    }

    /** Runs a task in this turn of the loop, once all that can be read was read. */
    void afterReads(Runnable task) {
        mTurns.inThisTurn(task);
    }

    /** Returns the requests that wait. */
    int size() {
        return mWaiting.size();
    }

    private void onCloseSeen(Waiting w) {
        w.mCloseSeen = true;
        plan();
    }

    private void plan() {
        if (!mPlanned) {
            mPlanned = true;
            mTurns.inThisTurn(this::plannedTurn);
        }
    }

    /** Looks at what waits for the router to learn enough. */
    void onTick() {
        if (size() > 0) {
            turn();
        } else {
            mArrivals.onTurn();
        }
    }

    /** Begins what waits, as far as this turn of the loop allows. */
    private void turn() {
        long now = mClock.nowMillis();
        mArrivals.onTurn();
        prepare();
        boolean more = beginBatch(now);
        if (more && !mPlanned) {
            mPlanned = true;
            mTurns.inNextTurn(this::plannedTurn);
        }
    }

    private void plannedTurn() {
        mPlanned = false;
        turn();
    }

    /** Drops what has ended. */
    private void prepare() {
        Iterator<Waiting> i = mWaiting.iterator();
        while (i.hasNext()) {
            Item item = i.next().item();
            if (item.isDone() || item.prepare() == Readiness.DONE) {
                i.remove();
            }
        }
    }

    /** Returns whether it stopped before all were begun. */
    private boolean beginBatch(long since) {
        while (beginOne()) {
            if (mClock.nowMillis() - since >= BATCH_MILLIS) {
                return true;
            }
        }
        return false;
    }

    /** Begins the one that came first, if any can be begun. */
    private boolean beginOne() {
        Waiting first = null;
        for (Waiting w : mWaiting) {
            if (mayBegin(w) && (first == null || isBefore(w, first))) {
                first = w;
            }
        }
        if (first == null) {
            return false;
        }
        mWaiting.remove(first);
        first.item().begin();
        return true;
    }

    private static boolean isBefore(Waiting a, Waiting b) {
        return a.item().arrival().millis() < b.item().arrival().millis();
    }

    private static boolean mayBegin(Waiting w) {
        return w.mCloseSeen && w.item().prepare() == Readiness.READY;
    }
}
