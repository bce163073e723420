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
final class RequestQueue {
    /** The loop goes back to reading after it has begun requests for so long. Unit: ms. */
    private static final long BATCH_MILLIS = 5;

    private final Clock mClock;
    private final ArrivalTracker mArrivalTracker;
    private final LoopScheduler mScheduler;
    private final List<Entry> mEntries = new ArrayList<>();
    private boolean mScheduled;

    /** Runs tasks on the event loop. */
    interface LoopScheduler {
        /** Runs a task in this turn of the loop, after all that can be read was read. */
        void runThisIteration(Runnable task);

        /**
         * Runs a task in the next turn of the loop, after all that can be read was read. To be
         * called by tasks only.
         */
        void runNextIteration(Runnable task);
    }

    /** Is a request that has been read and not begun. */
    interface QueuedRequest {
        /** Returns when it came. */
        Arrival arrival();

        /** Prepares the request if that can be done by now; it may end by this. */
        Readiness prepare();

        /** Returns whether the request has ended: it was answered, or its caller has left. */
        boolean isDone();

        /** Begins it. */
        void dispatch();
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
    private static final class Entry {
        private final QueuedRequest mRequest;
        private boolean mDisconnectChecked;

        Entry(QueuedRequest item) {
            mRequest = item;
            mDisconnectChecked = !item.arrival().wasDelayed();
        }

        QueuedRequest request() {
            return mRequest;
        }
    }

    RequestQueue(Clock clock, ArrivalTracker arrivals, LoopScheduler turns) {
        mClock = clock;
        mArrivalTracker = arrivals;
        mScheduler = turns;
    }

    /** Takes a request that has just been read. */
    void enqueue(QueuedRequest item) {
        Entry w = new Entry(item);
        mEntries.add(w);
        if (w.mDisconnectChecked) {
            schedule();
            return;
        }
        // A close that came while nothing was read is found one turn after the request.
        mScheduler.runThisIteration(
                () -> {
                    mArrivalTracker.onReadsDrained();
                    mScheduler.runNextIteration(() -> onDisconnectChecked(w));
                });
    }

    /** Runs a task in this turn of the loop, once all that can be read was read. */
    void runAfterReads(Runnable task) {
        mScheduler.runThisIteration(task);
    }

    /** Returns the requests that wait. */
    int size() {
        return mEntries.size();
    }

    private void onDisconnectChecked(Entry w) {
        w.mDisconnectChecked = true;
        schedule();
    }

    private void schedule() {
        if (!mScheduled) {
            mScheduled = true;
            mScheduler.runThisIteration(this::runScheduled);
        }
    }

    /** Looks at what waits for the router to learn enough. */
    void onTick() {
        if (size() > 0) {
            processEntries();
        } else {
            mArrivalTracker.onReadsDrained();
        }
    }

    /** Begins what waits, as far as this turn of the loop allows. */
    private void processEntries() {
        long now = mClock.nowMillis();
        mArrivalTracker.onReadsDrained();
        removeDone();
        boolean more = dispatchBatch(now);
        if (more && !mScheduled) {
            mScheduled = true;
            mScheduler.runNextIteration(this::runScheduled);
        }
    }

    private void runScheduled() {
        mScheduled = false;
        processEntries();
    }

    /** Drops what has ended. */
    private void removeDone() {
        Iterator<Entry> i = mEntries.iterator();
        while (i.hasNext()) {
            QueuedRequest item = i.next().request();
            if (item.isDone() || item.prepare() == Readiness.DONE) {
                i.remove();
            }
        }
    }

    /** Returns whether it stopped before all were begun. */
    private boolean dispatchBatch(long since) {
        while (dispatchFirst()) {
            if (mClock.nowMillis() - since >= BATCH_MILLIS) {
                return true;
            }
        }
        return false;
    }

    /** Begins the one that came first, if any can be begun. */
    private boolean dispatchFirst() {
        Entry first = null;
        for (Entry w : mEntries) {
            if (mayDispatch(w) && (first == null || isBefore(w, first))) {
                first = w;
            }
        }
        if (first == null) {
            return false;
        }
        mEntries.remove(first);
        first.request().dispatch();
        return true;
    }

    private static boolean isBefore(Entry a, Entry b) {
        return a.request().arrival().millis() < b.request().arrival().millis();
    }

    private static boolean mayDispatch(Entry w) {
        return w.mDisconnectChecked && w.request().prepare() == Readiness.READY;
    }
}
