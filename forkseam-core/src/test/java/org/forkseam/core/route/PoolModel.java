package org.forkseam.core.route;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.share.LoadExchange;
import org.forkseam.core.util.Hashes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Is a pool of engines and the routers before it, in virtual time: what the real choice of targets
 * does with a load, without a network.
 *
 * <p>The figures are those of the largest fleet that the project was measured on, as its operators
 * give them: 42 engines of 12 places that read 140 prompt tokens a millisecond and give an event of
 * 8 tokens in 17.6 ms, 33 routers, 315 requests a second of three kinds. An engine reads one prompt
 * at a time, and remembers every prompt it has read. A router learns an engine's load with the
 * first event of each answer, and from other routers if they tell each other.
 */
final class PoolModel {
    private static final double TOKENS_PER_MILLI = 140;
    private static final double COPIED_PER_MILLI = 1_050;
    private static final double COPY_SETUP_MILLIS = 1.7;
    private static final double EVENT_MILLIS = 8 * 2.2;
    private static final double FIRST_MILLIS = 53;
    private static final double MILLIS_PER_K = 0.0175;
    private static final double WAY_MILLIS = 0.5;
    private static final double LOAD_MULTIPLE = 2;
    private static final int MARGIN = 2;

    /** Declares a kind of request: how many a second, its prompt, its answer and its objective. */
    enum Kind {
        LONG(57.8, 280, 10_512, 1_300, 48, 610, 8_130),
        MIDDLE(88.3, 285, 699, 130, 36, 304, 8_106),
        SHORT(169, 364, 2_041, 360, 3, 405, 2_530);

        private final double mPerSecond;
        private final int mKeys;
        private final int mShared;
        private final int mOwn;
        private final int mEvents;
        private final double mObjective;
        private final double mDeadline;

        Kind(
                double perSecond,
                int keys,
                int shared,
                int own,
                int events,
                double objective,
                double deadline) {
            mPerSecond = perSecond;
            mKeys = keys;
            mShared = shared;
            mOwn = own;
            mEvents = events;
            mObjective = objective;
            mDeadline = deadline;
        }
    }

    /**
     * Declares a load.
     *
     * @param routers that take it
     * @param engines that serve it
     * @param places requests that an engine works on at once
     * @param telling whether routers tell each other of the engines' load
     */
    record Setup(int routers, int engines, int places, boolean telling) {}

    /** Counts what became of the requests that came in a span of time. */
    static final class Outcome {
        private int mRequests;
        private int mInTime;
        private int mLost;
        private long mTokensReadAgain;
        private long mTokensCopied;

        double shareInTime() {
            return (double) mInTime / mRequests;
        }

        int lost() {
            return mLost;
        }

        long tokensCopied() {
            return mTokensCopied;
        }

        long tokensReadAgain() {
            return mTokensReadAgain;
        }
    }

    private final Setup mSetup;
    private final SplittableRandom mRandom;
    private final HomePicker mPicker = HomePicker.of(LOAD_MULTIPLE, MARGIN);
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<List<Target>> mRouters = new ArrayList<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final Map<Integer, Integer> mEngineByHash = new HashMap<>();
    private final Set<String> mEverRead = new HashSet<>();
    private final SeatTable mSeats;
    private double mNow;
    private long mSequence;

    PoolModel(Setup setup, long seed) {
        mSetup = setup;
        mRandom = new SplittableRandom(seed);
        List<String> ids = new ArrayList<>();
        for (int e = 0; e < setup.engines(); e++) {
            mEngines.add(new Engine());
            ids.add("engine-" + e);
        }
        mSeats = SeatTable.of(ids);
        for (int e = 0; e < ids.size(); e++) {
            mEngineByHash.put(target(ids.get(e)).shortHash(), e);
        }
        for (int r = 0; r < setup.routers(); r++) {
            mRouters.add(ids.stream().map(this::target).toList());
        }
        if (setup.telling()) {
            at(0, this::tellAll);
        }
    }

    private Target target(String id) {
        return Target.of(new TargetEntry(id, "pool", "10.0.0.1:1", "a", mSetup.places(), false));
    }

    /** Plays so many seconds at a multiple of the usual rate, and counts what came in them. */
    Outcome play(double seconds, double multiple) {
        Outcome o = new Outcome();
        double end = mNow + seconds * 1_000;
        for (Kind k : Kind.values()) {
            double at = mNow;
            while ((at += gap(k, multiple)) < end) {
                at(at, () -> arrive(k, o));
            }
        }
        while (!mEvents.isEmpty() && mEvents.peek().at() < end) {
            step();
        }
        mNow = end;
        return o;
    }

    /** Plays on until all requests have ended. */
    void drain(double seconds) {
        play(seconds, 0);
    }

    private double gap(Kind k, double multiple) {
        double perMilli = k.mPerSecond * multiple / 1_000;
        return perMilli == 0 ? Double.MAX_VALUE : -Math.log(1 - mRandom.nextDouble()) / perMilli;
    }

    private void at(double millis, Runnable what) {
        mEvents.add(new Event(millis, mSequence++, what));
    }

    private void step() {
        Event e = mEvents.poll();
        mNow = e.at();
        e.what().run();
    }

    /** Is something that happens at a moment. */
    private record Event(double at, long sequence, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int byTime = Double.compare(at, o.at);
            return byTime != 0 ? byTime : Long.compare(sequence, o.sequence);
        }
    }

    // ---------------------------------------------------------------- routers

    private void tellAll() {
        for (List<Target> targets : mRouters) {
            List<Target> other = mRouters.get(mRandom.nextInt(mRouters.size()));
            LoadExchange.take(
                    LoadExchange.digest(targets, (long) mNow),
                    hash -> Optional.ofNullable(mEngineByHash.get(hash)).map(other::get),
                    (long) mNow);
        }
        at(mNow + LoadExchange.PERIOD_MILLIS, this::tellAll);
    }

    private void arrive(Kind kind, Outcome o) {
        o.mRequests++;
        String key = kind + "-" + mRandom.nextInt(kind.mKeys);
        List<Target> targets = mRouters.get(mRandom.nextInt(mRouters.size()));
        send(new Work(kind, key, mRouters.indexOf(targets), mNow, o));
    }

    private void send(Work w) {
        List<Target> targets = mRouters.get(w.mRouter);
        PickRequest request = new PickRequest(w.mKey, w.mKind.mShared, mSeats);
        Target t = mPicker.pick(request, targets, (long) mNow).orElseThrow().target();
        t.onSent((long) mNow);
        w.mTarget = t;
        w.mEngine = mEngines.get(targets.indexOf(t));
        at(mNow + WAY_MILLIS, () -> w.mEngine.take(w));
    }

    private Engine firstOf(String key) {
        String id = mSeats.order(Hashes.of(key)).get(0);
        return mEngines.get(mSeats.holders().indexOf(id));
    }

    /** Returns the mean age of what routers know of the engines' load, in milliseconds. */
    double meanReadingAge() {
        return mRouters.stream()
                .flatMap(List::stream)
                .mapToLong(t -> t.readingAgeMillis((long) mNow))
                .map(age -> age < 0 ? 10_000 : age)
                .average()
                .orElseThrow();
    }

    // ---------------------------------------------------------------- engines

    /** Is a request at an engine. */
    private static final class Work {
        private final Kind mKind;
        private final String mKey;
        private final int mRouter;
        private final double mCameAt;
        private final Outcome mOutcome;
        private Target mTarget;
        private Engine mEngine;

        Work(Kind kind, String key, int router, double cameAt, Outcome o) {
            mKind = kind;
            mKey = key;
            mRouter = router;
            mCameAt = cameAt;
            mOutcome = o;
        }
    }

    /** Is an engine: places, a queue, and the prompts it has read. */
    private final class Engine {
        private final Deque<Work> mQueue = new ArrayDeque<>();
        private final Set<String> mRead = new HashSet<>();
        private int mRunning;
        private int mContext;
        private double mReaderFreeAt;

        int load() {
            return mRunning + mQueue.size();
        }

        void take(Work w) {
            if (mRunning < mSetup.places()) {
                begin(w);
                return;
            }
            mQueue.add(w);
        }

        private void begin(Work w) {
            mRunning++;
            mContext += w.mKind.mShared + w.mKind.mOwn;
            double busy = w.mKind.mOwn / TOKENS_PER_MILLI;
            if (mRead.add(w.mKey)) {
                busy += bring(w);
            }
            mReaderFreeAt = Math.max(mNow, mReaderFreeAt) + busy;
            at(mReaderFreeAt + FIRST_MILLIS, () -> first(w));
        }

        /** Copies a prompt from the first in the key's order, or reads it; returns how long. */
        private double bring(Work w) {
            int tokens = w.mKind.mShared;
            Engine source = firstOf(w.mKey);
            if (source != this && source.mRead.contains(w.mKey)) {
                w.mOutcome.mTokensCopied += tokens;
                return COPY_SETUP_MILLIS + tokens / COPIED_PER_MILLI;
            }
            if (!mEverRead.add(w.mKey)) {
                w.mOutcome.mTokensReadAgain += tokens;
            }
            return tokens / TOKENS_PER_MILLI;
        }

        private void first(Work w) {
            if (mNow - w.mCameAt <= w.mKind.mObjective) {
                w.mOutcome.mInTime++;
            }
            if (mNow - w.mCameAt > w.mKind.mDeadline) {
                w.mOutcome.mLost++;
            }
            w.mTarget.onLoad(load(), (long) mNow);
            double event = EVENT_MILLIS + 8 * MILLIS_PER_K * mContext / 1_000;
            at(mNow + w.mKind.mEvents * event, () -> end(w));
        }

        private void end(Work w) {
            w.mTarget.onEnded();
            mRunning--;
            mContext -= w.mKind.mShared + w.mKind.mOwn;
            if (!mQueue.isEmpty()) {
                begin(mQueue.poll());
            }
        }
    }
}
