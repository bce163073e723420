package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Tests when requests are begun, on a loop and a clock that the tests turn. */
class RequestQueueTest {
    private long mNow = 10_000;
    private final Deque<Runnable> mThisTurn = new ArrayDeque<>();
    private final Deque<Runnable> mNextTurn = new ArrayDeque<>();
    private final List<String> mBegun = new ArrayList<>();
    private final ArrivalTracker mArrivals = new ArrivalTracker(() -> mNow, 10_000);
    private final RequestQueue mIntake =
            new RequestQueue(
                    () -> mNow,
                    mArrivals,
                    new RequestQueue.LoopScheduler() {
                        @Override
                        public void runThisIteration(Runnable task) {
                            mThisTurn.add(task);
                        }

                        @Override
                        public void runNextIteration(Runnable task) {
                            mNextTurn.add(task);
                        }
                    });

    private long mBeginCosts;
    private boolean mKnows = true;

    /** Is a request that writes down when it is begun. */
    private final class Request implements RequestQueue.QueuedRequest {
        private final String mName;
        private final Arrival mArrival;
        private boolean mDone;

        Request(String name) {
            mName = name;
            mArrival = mArrivals.next();
        }

        @Override
        public Arrival arrival() {
            return mArrival;
        }

        @Override
        public RequestQueue.Readiness prepare() {
            return mKnows ? RequestQueue.Readiness.READY : RequestQueue.Readiness.NOT_YET;
        }

        @Override
        public boolean isDone() {
            return mDone;
        }

        @Override
        public void dispatch() {
            mBegun.add(mName);
            mNow += mBeginCosts;
        }
    }

    private Request read(String name) {
        Request r = new Request(name);
        mIntake.enqueue(r);
        return r;
    }

    /** Runs one turn of the loop: what was planned for it, and nothing that it plans for later. */
    private void turn() {
        mThisTurn.addAll(mNextTurn);
        mNextTurn.clear();
        while (!mThisTurn.isEmpty()) {
            mThisTurn.poll().run();
        }
    }

    @Test
    void aRequestIsBegunInTheTurnInWhichItIsRead() {
        read("a");
        turn();
        assertThat(mBegun).containsExactly("a");
        assertThat(mNextTurn).isEmpty();
    }

    /** After a start, what has waited is begun in the order in which it came. */
    @Test
    void whatHasWaitedIsBegunInOrder() {
        mNow += 2_000;
        for (int i = 0; i < 10; i++) {
            read("r" + i);
        }
        turn();
        assertThat(mBegun).isEmpty(); // whether their callers are there is seen in the next turn
        turn();
        assertThat(mBegun).hasSize(10);
        assertThat(mBegun).containsAtLeast("r0", "r1", "r9").inOrder();
    }

    /** A caller that left while its request waited unread: nothing is begun for it. */
    @Test
    void aCallerThatLeftMeanwhileIsSeenBeforeItsRequestIsBegun() {
        mNow += 700;
        Request r = read("gone");
        turn();
        assertThat(mBegun).isEmpty();
        r.mDone = true; // its close is read in the next turn, before the requests are begun
        turn();
        turn();
        assertThat(mBegun).isEmpty();
        assertThat(mIntake.size()).isEqualTo(0);
    }

    /** A tick in the turn in which a request was read knows no more of its caller. */
    @Test
    void aTickBeginsNothingWhoseCallerMayHaveLeft() {
        mNow += 700;
        read("maybe gone");
        mThisTurn.add(() -> mIntake.onTick());
        turn();
        mIntake.onTick();
        assertThat(mBegun).isEmpty();
        turn();
        mIntake.onTick();
        assertThat(mBegun).containsExactly("maybe gone");
    }

    /** Beginning costs time: the loop goes back to reading in between. */
    @Test
    void theLoopReadsBetweenBatches() {
        mBeginCosts = 3;
        for (int i = 0; i < 6; i++) {
            read("r" + i);
        }
        turn();
        assertThat(mBegun.size()).isLessThan(6);
        assertThat(mNextTurn).hasSize(1);
        while (!mNextTurn.isEmpty()) {
            turn();
        }
        assertThat(mBegun).hasSize(6);
    }

    /** A router without knowledge does not spin; it looks again at its ticks. */
    @Test
    void whatWaitsForKnowledgeIsLookedAtByTicks() {
        mKnows = false;
        read("a");
        turn();
        assertThat(mBegun).isEmpty();
        assertThat(mNextTurn).isEmpty();
        mKnows = true;
        mIntake.onTick();
        turn();
        assertThat(mBegun).containsExactly("a");
    }
}
