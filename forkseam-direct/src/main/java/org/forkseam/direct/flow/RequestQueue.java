package org.forkseam.direct.flow;

import org.forkseam.core.util.Clock;

import java.util.ArrayList;
import java.util.List;

/**
 * Queues requests between reading and dispatch, in arrival order. Used on the event loop.
 *
 * <p>Normally a request is dispatched at once. After a stall, callers may have disconnected while
 * their requests waited unread. Such a request is dispatched only after one more loop iteration, in
 * which a disconnect would have been read. Requests are dispatched in small batches with reads in
 * between, so that responses of active requests are not delayed.
 */
final class RequestQueue {
    /** Maximum duration of a batch before the loop reads again. */
    private static final long BATCH_MILLIS = 5;

    private final Clock mClock;
    private final ArrivalTracker mArrivalTracker;
    private final LoopScheduler mScheduler;
    private final List<Entry> mEntries = new ArrayList<>();
    private boolean mScheduled;

    /** Runs tasks on the event loop after pending reads. */
    interface LoopScheduler {
        /** Runs a task in the current loop iteration, after all pending reads. */
        void runThisIteration(Runnable task);

        /**
         * Runs a task in the next loop iteration, after all pending reads. Must be called from a
         * task.
         */
        void runNextIteration(Runnable task);
    }

    /** A request that was read and not yet dispatched. */
    interface QueuedRequest {
        /** Returns when the request arrived. */
        Arrival arrival();

        /** Prepares the request if the router has a configuration; this may finish the request. */
        Readiness prepare();

        /** Returns whether the request was answered or its caller has disconnected. */
        boolean isDone();

        /** Dispatches the request. */
        void dispatch();
    }

    /** Readiness of a request for dispatch. */
    enum Readiness {
        /** The request can be dispatched. */
        READY,
        /** The router has no configuration yet. */
        NOT_YET,
        /** The request has finished. */
        DONE
    }

    /** A queued request, and whether a disconnect of its caller would have been read by now. */
    private static final class Entry {
        private final QueuedRequest mRequest;
        private boolean mDisconnectChecked;

        Entry(QueuedRequest request) {
            mRequest = request;
            mDisconnectChecked = !request.arrival().wasDelayed();
        }

        QueuedRequest request() {
            return mRequest;
        }
    }

    RequestQueue(Clock clock, ArrivalTracker arrivalTracker, LoopScheduler scheduler) {
        mClock = clock;
        mArrivalTracker = arrivalTracker;
        mScheduler = scheduler;
    }

    /** Adds a request that was just read. */
    void enqueue(QueuedRequest request) {
        Entry e = new Entry(request);
        mEntries.add(e);
        if (e.mDisconnectChecked) {
            schedule();
            return;
        }
        // A disconnect during a stall is read one loop iteration after the request.
        mScheduler.runThisIteration(
                () -> {
                    mArrivalTracker.onReadsDrained();
                    mScheduler.runNextIteration(() -> onDisconnectChecked(e));
                });
    }

    /** Runs a task in the current loop iteration, after all pending reads. */
    void runAfterReads(Runnable task) {
        mScheduler.runThisIteration(task);
    }

    /** Returns the number of queued requests. */
    int size() {
        return mEntries.size();
    }

    private void onDisconnectChecked(Entry e) {
        e.mDisconnectChecked = true;
        schedule();
    }

    private void schedule() {
        if (!mScheduled) {
            mScheduled = true;
            mScheduler.runThisIteration(this::runScheduled);
        }
    }

    /** Processes requests that wait for a configuration. */
    void onTick() {
        if (size() > 0) {
            processEntries();
        } else {
            mArrivalTracker.onReadsDrained();
        }
    }

    /** Dispatches queued requests as far as the batch limit allows. */
    private void processEntries() {
        long now = mClock.nowMillis();
        mArrivalTracker.onReadsDrained();
        removeDone();
        boolean limitReached = dispatchBatch(now);
        if (limitReached && !mScheduled) {
            mScheduled = true;
            mScheduler.runNextIteration(this::runScheduled);
        }
    }

    private void runScheduled() {
        mScheduled = false;
        processEntries();
    }

    /**
     * Removes finished requests. A request that finishes when it is prepared may add the next
     * request of its caller at the end, hence no iterator.
     */
    private void removeDone() {
        int i = 0;
        while (i < mEntries.size()) {
            Entry e = mEntries.get(i);
            if (e.request().isDone() || e.request().prepare() == Readiness.DONE) {
                mEntries.remove(i);
            } else {
                i++;
            }
        }
    }

    /** Returns whether the batch limit was reached. */
    private boolean dispatchBatch(long since) {
        while (dispatchFirst()) {
            if (mClock.nowMillis() - since >= BATCH_MILLIS) {
                return true;
            }
        }
        return false;
    }

    /** Dispatches the earliest request that is ready, if any. */
    private boolean dispatchFirst() {
        Entry first = null;
        for (int i = 0; i < mEntries.size(); i++) { // preparing a request may add another
            Entry e = mEntries.get(i);
            if (mayDispatch(e) && (first == null || isBefore(e, first))) {
                first = e;
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

    private static boolean mayDispatch(Entry e) {
        return e.mDisconnectChecked && e.request().prepare() == Readiness.READY;
    }
}
