package org.forkseam.direct.flow;

import org.forkseam.core.util.Clock;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Decides in which order requests that have been read are begun. Used on the event loop.
 *
 * <p>A router that keeps up begins each at once. One that is behind, after a start, a freeze or on
 * a slow host, would make everybody late if it went on in the order of arrival: the work that a
 * request brings costs some ten times as much as reading it. So it reads what is there first and
 * begins what can still be in time, the newest first; what is late already follows while the loop
 * keeps up. Callers that have left meanwhile are seen before their requests are begun.
 *
 * <p>In the four seconds after the loss of all routers, order of arrival had half of the requests
 * answered late; docs/design/deciding-under-load.md holds what this order changes.
 */
final class Intake {
    /** The loop goes back to reading after it has begun requests for so long. Unit: ms. */
    private static final long BATCH_MILLIS = 5;

    /** Connections that waited unread which are read in one turn: a millisecond of work each. */
    private static final int READS_A_TURN = 4;

    /** Late requests begun at a tick of a loop that keeps up: 125 a second. */
    private static final int LATE_A_TICK = 5;

    /** One late request is begun in so many ticks of a loop that is behind: 8 a second. */
    private static final int TICKS_A_LATE = 3;

    /**
     * Part of the time to an answer in time that may be over when a request is begun. Origin: the
     * median answer takes a quarter of that time.
     */
    private static final double IN_TIME_SHARE = 0.75;

    private final Clock mClock;
    private final Arrivals mArrivals;
    private final Turns mTurns;
    private final List<Waiting> mWaiting = new ArrayList<>();
    private final Deque<Runnable> mUnread = new ArrayDeque<>();
    private long mTick;
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

        /** Returns until when an answer is in time, in the clock's milliseconds, once prepared. */
        long inTimeUntil();

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
        mTurns.inThisTurn(() -> mTurns.inNextTurn(() -> onCloseSeen(w)));
    }

    /**
     * Takes a connection that waited to be accepted. Reading what is on it costs a router that has
     * just started some two milliseconds, so the newest come first here too.
     *
     * @param read begins to read it
     */
    void addUnread(Runnable read) {
        mUnread.push(read);
        plan();
    }

    /** Runs a task in this turn of the loop, once all that can be read was read. */
    void afterReads(Runnable task) {
        mTurns.inThisTurn(task);
    }

    /** Returns the requests that wait, read or unread. */
    int size() {
        return mWaiting.size() + mUnread.size();
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

    /**
     * Begins late requests while there is room for them.
     *
     * @param behind whether the loop has more to do than it gets done
     */
    void onTick(boolean behind) {
        mTick++;
        if (size() == 0) {
            mArrivals.onTurn();
            return;
        }
        turn();
        int late = behind ? (mTick % TICKS_A_LATE == 0 ? 1 : 0) : LATE_A_TICK;
        for (int i = 0; i < late; i++) {
            if (!beginOne(false)) {
                return;
            }
        }
    }

    /** Begins what can be in time, as far as this turn of the loop allows. */
    private void turn() {
        long now = mClock.nowMillis();
        mArrivals.onTurn();
        prepare();
        boolean more = beginInTime(now);
        if (!more) {
            readSome();
        }
        more |= !mUnread.isEmpty();
        if (more && !mPlanned) {
            mPlanned = true;
            mTurns.inNextTurn(this::plannedTurn);
        }
    }

    private void readSome() {
        for (int i = 0; i < READS_A_TURN && !mUnread.isEmpty(); i++) {
            mUnread.pop().run();
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
    private boolean beginInTime(long since) {
        while (beginOne(true)) {
            if (mClock.nowMillis() - since >= BATCH_MILLIS) {
                return true;
            }
        }
        return false;
    }

    /** Begins the newest request that can, or can no longer, be answered in time. */
    private boolean beginOne(boolean inTime) {
        long now = mClock.nowMillis();
        Waiting newest = null;
        for (Waiting w : mWaiting) {
            if (!mayBegin(w) || isInTime(w.item(), now) != inTime) {
                continue;
            }
            if (newest == null || isNewer(w, newest)) {
                newest = w;
            }
        }
        if (newest == null) {
            return false;
        }
        mWaiting.remove(newest);
        newest.item().begin();
        return true;
    }

    private static boolean isNewer(Waiting a, Waiting b) {
        return a.item().arrival().millis() > b.item().arrival().millis();
    }

    private static boolean mayBegin(Waiting w) {
        return w.mCloseSeen && w.item().prepare() == Readiness.READY;
    }

    private static boolean isInTime(Item item, long now) {
        long came = item.arrival().millis();
        return now <= came + IN_TIME_SHARE * (item.inTimeUntil() - came);
    }
}
