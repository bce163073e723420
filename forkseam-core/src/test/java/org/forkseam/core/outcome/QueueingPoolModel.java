package org.forkseam.core.outcome;

import org.forkseam.core.outcome.AttemptState.TargetQueue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.LongToDoubleFunction;

/**
 * Models routers and targets with slots and bounded queues on a virtual clock. Targets run a
 * request even if its router has abandoned it, and refuse requests when their queue is full. There
 * is no retry budget, so that the effect of the timeouts alone is seen.
 */
final class QueueingPoolModel {
    static final int SECOND = 1_000;
    static final int ROUTERS = 30;
    static final int TARGETS = 4;
    static final int SLOTS = 4;
    static final int MAX_QUEUE = 24;
    static final int WORK_MILLIS = 50;
    static final long OBJECTIVE_MILLIS = 267;
    private static final long TIMEOUT_MILLIS = 1_500;
    private static final long TICK_MILLIS = 40;
    private static final long FULL_BACKOFF_MILLIS = 80;
    private static final double OLD_LATENCY_SHARE = 0.6;

    /** Share of the other routers that learn of a report. */
    private static final double RELAYED_SHARE = 0.5;

    /**
     * Conditions of a run.
     *
     * @param patient whether routers use {@link AttemptPatience} instead of a fixed share of the
     *     objective
     * @param reports whether targets report their load
     * @param rate requests per second by time
     * @param stopsAt time from which the first target sends and processes nothing
     */
    record Setup(
            boolean patient, boolean reports, LongToDoubleFunction rate, long stopsAt, long seed) {}

    /** What one router knows and has in flight. */
    private static final class Router {
        final AttemptPatience mPatience = AttemptPatience.create();
        final List<Attempt> mActive = new ArrayList<>();
        final int[] mInFlight = new int[TARGETS];
        final long[] mLastReceived = new long[TARGETS];
        final long[] mBusySince = new long[TARGETS];
        final long[] mFullUntil = new long[TARGETS];
        final int[] mWaiting = new int[TARGETS];
        final long[] mReportedAt = new long[TARGETS];
    }

    /** A caller's request with the targets to which it was sent. */
    private record Request(Router router, long arrived, Set<Integer> tried) {}

    /** A request at one target. */
    private static final class Attempt {
        final Request mRequest;
        final int mTarget;
        final long mSentAt;
        final TargetQueue mQueue;
        long mDoneAt = Long.MAX_VALUE;
        boolean mEnded;

        Attempt(Request request, int target, long sentAt, TargetQueue queue) {
            mRequest = request;
            mTarget = target;
            mSentAt = sentAt;
            mQueue = queue;
        }
    }

    private final Setup mSetup;
    private final Random mArrivals;
    private final Random mRandom;
    private final List<Router> mRouters = new ArrayList<>();
    private final List<Deque<Attempt>> mQueues = new ArrayList<>();
    private final List<List<Attempt>> mRunning = new ArrayList<>();
    private final long mUntil;
    private long mNow;

    int mAttempts;
    int mAbandonedInQueue;
    int mAnswered;
    long mLongestAtStopped;
    final int[] mRequestsIn;
    final int[] mSecondAttemptsIn;
    final int[] mInTimeIn;

    private QueueingPoolModel(Setup setup, long untilMillis) {
        mSetup = setup;
        mArrivals = new Random(setup.seed());
        mRandom = new Random(-setup.seed());
        mUntil = untilMillis;
        int seconds = (int) (untilMillis / SECOND);
        mRequestsIn = new int[seconds];
        mSecondAttemptsIn = new int[seconds];
        mInTimeIn = new int[seconds];
        for (int i = 0; i < ROUTERS; i++) {
            mRouters.add(new Router());
        }
        for (int i = 0; i < TARGETS; i++) {
            mQueues.add(new ArrayDeque<>());
            mRunning.add(new ArrayList<>());
        }
    }

    static QueueingPoolModel run(Setup setup, long untilMillis) {
        QueueingPoolModel m = new QueueingPoolModel(setup, untilMillis);
        for (m.mNow = 0; m.mNow < m.mUntil; m.mNow++) {
            m.step();
        }
        return m;
    }

    private int second() {
        return (int) (mNow / SECOND);
    }

    private boolean isStopped(int target) {
        return target == 0 && mNow >= mSetup.stopsAt();
    }

    private void step() {
        for (int t = 0; t < TARGETS; t++) {
            if (!isStopped(t)) {
                process(t);
            }
        }
        double expected = mSetup.rate().applyAsDouble(mNow) / SECOND;
        for (double left = expected; mArrivals.nextDouble() < left; left--) {
            arrive();
        }
        for (int i = 0; i < ROUTERS; i++) {
            if ((mNow + i) % TICK_MILLIS == 0) {
                List.copyOf(mRouters.get(i).mActive).forEach(this::check);
            }
        }
    }

    private void process(int t) {
        List<Attempt> running = mRunning.get(t);
        for (Attempt a : List.copyOf(running)) {
            if (a.mDoneAt <= mNow) {
                running.remove(a);
                answer(a);
            }
        }
        while (running.size() < SLOTS && !mQueues.get(t).isEmpty()) {
            Attempt a = mQueues.get(t).poll();
            a.mDoneAt = mNow + WORK_MILLIS / 2 + mRandom.nextInt(WORK_MILLIS);
            running.add(a);
        }
    }

    private void answer(Attempt a) {
        if (a.mEnded) {
            return;
        }
        Router r = a.mRequest.router();
        end(a);
        r.mLastReceived[a.mTarget] = mNow;
        r.mPatience.onResponse(mNow - a.mSentAt, a.mQueue, mNow);
        mAnswered++;
        mInTimeIn[second()] += mNow - a.mRequest.arrived() <= OBJECTIVE_MILLIS ? 1 : 0;
        for (Router other : mRouters) {
            if (mSetup.reports() && (other == r || mRandom.nextDouble() < RELAYED_SHARE)) {
                other.mWaiting[a.mTarget] = mQueues.get(a.mTarget).size();
                other.mReportedAt[a.mTarget] = mNow;
            }
        }
    }

    private void end(Attempt a) {
        a.mEnded = true;
        a.mRequest.router().mActive.remove(a);
        a.mRequest.router().mInFlight[a.mTarget]--;
        if (isStopped(a.mTarget)) {
            long since = Math.max(a.mSentAt, mSetup.stopsAt());
            mLongestAtStopped = Math.max(mLongestAtStopped, mNow - since);
        }
    }

    private void arrive() {
        Router r = mRouters.get(mArrivals.nextInt(ROUTERS));
        mRequestsIn[second()]++;
        r.mPatience.onRequest(mNow);
        send(new Request(r, mNow, new HashSet<>()));
    }

    /** Sends the request to the least loaded target that does not refuse it. */
    private void send(Request q) {
        Router r = q.router();
        for (int t = next(q); t >= 0; t = next(q)) {
            q.tried().add(t);
            if (mQueues.get(t).size() >= MAX_QUEUE && !isStopped(t)) {
                r.mFullUntil[t] = mNow + FULL_BACKOFF_MILLIS;
                continue;
            }
            Attempt a = new Attempt(q, t, mNow, queue(r, t));
            r.mBusySince[t] = r.mInFlight[t] == 0 ? mNow : r.mBusySince[t];
            r.mInFlight[t]++;
            r.mActive.add(a);
            mQueues.get(t).add(a);
            mAttempts++;
            return;
        }
    }

    private int next(Request q) {
        int best = -1;
        double least = Double.MAX_VALUE;
        for (int t = 0; t < TARGETS; t++) {
            Router r = q.router();
            double load = r.mInFlight[t] + r.mWaiting[t] + mRandom.nextDouble();
            if (load < least && !q.tried().contains(t) && mNow >= r.mFullUntil[t]) {
                best = t;
                least = load;
            }
        }
        return best;
    }

    private TargetQueue queue(Router r, int t) {
        return mSetup.reports()
                ? new TargetQueue(r.mWaiting[t], SLOTS, 1.0, mNow - r.mReportedAt[t])
                : TargetQueue.UNKNOWN;
    }

    private void check(Attempt a) {
        Request q = a.mRequest;
        if (mNow - q.arrived() >= TIMEOUT_MILLIS) {
            end(a);
            return;
        }
        if (!isStalled(a)) {
            return;
        }
        mAbandonedInQueue += a.mDoneAt == Long.MAX_VALUE && !isStopped(a.mTarget) ? 1 : 0;
        mSecondAttemptsIn[second()]++;
        end(a);
        q.router().mPatience.onSecondAttempt(mNow);
        send(q);
    }

    private boolean isStalled(Attempt a) {
        Router r = a.mRequest.router();
        int t = a.mTarget;
        long silent = mNow - a.mSentAt;
        if (!mSetup.patient()) {
            return silent > OLD_LATENCY_SHARE * OBJECTIVE_MILLIS;
        }
        long targetSilent = mNow - Math.max(r.mLastReceived[t], r.mBusySince[t]);
        long remaining = TIMEOUT_MILLIS - (mNow - a.mRequest.arrived());
        AttemptState s =
                new AttemptState(silent, targetSilent, queue(r, t), OBJECTIVE_MILLIS, remaining);
        PoolPressure p = new PoolPressure(false, hasRoomElsewhere(a.mRequest));
        return r.mPatience.isStalled(s, p, mNow);
    }

    private static boolean hasRoom(Router r, int t, long now) {
        return now >= r.mFullUntil[t] && r.mWaiting[t] == 0;
    }

    private boolean hasRoomElsewhere(Request q) {
        for (int t = 0; t < TARGETS; t++) {
            if (!q.tried().contains(t) && hasRoom(q.router(), t, mNow)) {
                return true;
            }
        }
        return false;
    }
}
