package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Tests the dispatch of queued requests with a simulated event loop and clock. */
class RequestQueueTest {
    private long mNow = 10_000;
    private final Deque<Runnable> mThisIteration = new ArrayDeque<>();
    private final Deque<Runnable> mNextIteration = new ArrayDeque<>();
    private final List<String> mDispatched = new ArrayList<>();
    private final ArrivalTracker mArrivalTracker = new ArrivalTracker(() -> mNow, 10_000);
    private final RequestQueue mQueue =
            new RequestQueue(
                    () -> mNow,
                    mArrivalTracker,
                    new RequestQueue.LoopScheduler() {
                        @Override
                        public void runThisIteration(Runnable task) {
                            mThisIteration.add(task);
                        }

                        @Override
                        public void runNextIteration(Runnable task) {
                            mNextIteration.add(task);
                        }
                    });

    private long mDispatchMillis;
    private boolean mConfigured = true;

    /** A request that records its dispatch. */
    private final class Request implements RequestQueue.QueuedRequest {
        private final String mName;
        private final Arrival mArrival;
        private boolean mDone;
        private Optional<Runnable> mRefused = Optional.empty();
        private Runnable mOnDispatch = () -> {};
        private boolean mReady = true;

        Request(String name) {
            mName = name;
            mArrival = mArrivalTracker.next();
        }

        @Override
        public Arrival arrival() {
            return mArrival;
        }

        /** Lets the request be refused when it is prepared, after which its caller acts. */
        Request refuse(Runnable next) {
            mRefused = Optional.of(next);
            return this;
        }

        @Override
        public RequestQueue.Readiness prepare() {
            if (mDone) {
                return RequestQueue.Readiness.DONE;
            }
            if (mConfigured && mRefused.isPresent()) {
                mDone = true;
                mRefused.get().run();
                return RequestQueue.Readiness.DONE;
            }
            return mConfigured && mReady
                    ? RequestQueue.Readiness.READY
                    : RequestQueue.Readiness.NOT_YET;
        }

        @Override
        public boolean isDone() {
            return mDone;
        }

        @Override
        public void dispatch() {
            mDispatched.add(mName);
            mNow += mDispatchMillis;
            mOnDispatch.run();
        }
    }

    private Request read(String name) {
        Request r = new Request(name);
        mQueue.enqueue(r);
        return r;
    }

    /** Runs one loop iteration. */
    private void runIteration() {
        mThisIteration.addAll(mNextIteration);
        mNextIteration.clear();
        while (!mThisIteration.isEmpty()) {
            mThisIteration.poll().run();
        }
    }

    @Test
    void requestIsDispatchedInTheIterationInWhichItIsRead() {
        read("a");
        runIteration();
        assertThat(mDispatched).containsExactly("a");
        assertThat(mNextIteration).isEmpty();
    }

    /** Requests that waited during a stall are dispatched in arrival order. */
    @Test
    void delayedRequestsAreDispatchedInOrder() {
        mNow += 2_000;
        for (int i = 0; i < 10; i++) {
            read("r" + i);
        }
        runIteration();
        assertThat(mDispatched).isEmpty(); // disconnects are read in the next iteration
        runIteration();
        assertThat(mDispatched).hasSize(10);
        assertThat(mDispatched).containsAtLeast("r0", "r1", "r9").inOrder();
    }

    /** A request whose caller disconnected during a stall is not dispatched. */
    @Test
    void disconnectIsDetectedBeforeDispatch() {
        mNow += 700;
        Request r = read("disconnected");
        runIteration();
        assertThat(mDispatched).isEmpty();
        r.mDone = true; // the disconnect is read in the next iteration, before the dispatch
        runIteration();
        runIteration();
        assertThat(mDispatched).isEmpty();
        assertThat(mQueue.size()).isEqualTo(0);
    }

    /** A tick must not dispatch a request before a disconnect could be read. */
    @Test
    void tickDoesNotDispatchBeforeDisconnectCheck() {
        mNow += 700;
        read("maybe disconnected");
        mThisIteration.add(() -> mQueue.onTick());
        runIteration();
        mQueue.onTick();
        assertThat(mDispatched).isEmpty();
        runIteration();
        mQueue.onTick();
        assertThat(mDispatched).containsExactly("maybe disconnected");
    }

    /** Slow dispatches are split into batches with reads in between. */
    @Test
    void loopReadsBetweenBatches() {
        mDispatchMillis = 3;
        for (int i = 0; i < 6; i++) {
            read("r" + i);
        }
        runIteration();
        assertThat(mDispatched.size()).isLessThan(6);
        assertThat(mNextIteration).hasSize(1);
        while (!mNextIteration.isEmpty()) {
            runIteration();
        }
        assertThat(mDispatched).hasSize(6);
    }

    /** Without a configuration, requests are checked on ticks and not in a busy loop. */
    @Test
    void requestsWaitingForConfigurationAreDispatchedOnTicks() {
        mConfigured = false;
        read("a");
        runIteration();
        assertThat(mDispatched).isEmpty();
        assertThat(mNextIteration).isEmpty();
        mConfigured = true;
        mQueue.onTick();
        runIteration();
        assertThat(mDispatched).containsExactly("a");
    }

    /**
     * Guards against an exception when a refused request is followed by one that its caller has
     * pipelined: the refusal starts it, which adds it to the queue.
     */
    @Test
    void refusedRequestIsFollowedByAPipelinedOne() {
        mConfigured = false;
        read("refused").refuse(() -> read("pipelined"));
        read("other");
        runIteration();
        mConfigured = true;
        mQueue.onTick();
        runIteration();
        assertThat(mDispatched).containsExactly("other", "pipelined").inOrder();
        assertThat(mQueue.size()).isEqualTo(0);
    }

    /** As above, with a row of pipelined requests that are all refused but the last. */
    @Test
    void refusedRequestsAreFollowedByAPipelinedOne() {
        mConfigured = false;
        read("refused")
                .refuse(
                        () ->
                                read("refused too")
                                        .refuse(
                                                () ->
                                                        read("refused as well")
                                                                .refuse(() -> read("pipelined"))));
        read("other");
        runIteration();
        mConfigured = true;
        mQueue.onTick();
        runIteration();
        assertThat(mDispatched).containsExactly("other", "pipelined").inOrder();
        assertThat(mQueue.size()).isEqualTo(0);
    }

    /** As above, with a request that is refused only once the queue selects one to dispatch. */
    @Test
    void requestRefusedDuringSelectionIsFollowedByAPipelinedOne() {
        Request refused = read("refused");
        Request first = read("first");
        refused.mReady = false;
        first.mOnDispatch = () -> refused.refuse(() -> read("pipelined"));
        read("other");
        runIteration();
        runIteration();
        assertThat(mDispatched).containsExactly("first", "other", "pipelined");
        mQueue.onTick();
        assertThat(mQueue.size()).isEqualTo(0);
    }
}
