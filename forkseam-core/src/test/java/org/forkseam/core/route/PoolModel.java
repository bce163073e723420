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
 * <p>The figures are those of two fleets that the project was measured on, as their operators give
 * them ({@link Fleet}). An engine reads 140 prompt tokens a millisecond, one prompt at a time, and
 * remembers every prompt it has read; a step takes 2.2 ms. A router learns an engine's load with
 * the first event of each answer, and from other routers if they tell each other.
 */
final class PoolModel {
    private static final double TOKENS_PER_MILLI = 140;
    private static final double COPIED_PER_MILLI = 1_050;
    private static final double COPY_SETUP_MILLIS = 1.7;
    private static final double STEP_MILLIS = 2.2;
    private static final double FIRST_MILLIS = 53;
    private static final double MILLIS_PER_K = 0.0175;
    private static final double WAY_MILLIS = 0.5;
    private static final double LOAD_MULTIPLE = 2;
    private static final int MARGIN = 2;

    /**
     * Declares a kind of request.
     *
     * @param keys prompts that requests share
     * @param shared tokens of such a prompt
     * @param own tokens that a request has besides
     */
    record Kind(
            String name,
            double perSecond,
            int keys,
            int shared,
            int own,
            int events,
            double objective,
            double deadline) {}

    /**
     * Declares how uneven a fleet's requests are.
     *
     * @param clump requests that come at the same moment, to any router and of any prompt
     * @param spread of the length of answers: the standard deviation of its logarithm
     * @param skew the n-th prompt of a kind is asked for as often as n to the power of minus this
     */
    record Shape(int clump, double spread, double skew) {
        private static final Shape EVEN = new Shape(1, 0, 0);
    }

    /** Declares a fleet: its engines and its usual requests. */
    enum Fleet {
        /** Of 33 routers and 42 engines: a request fills a twelfth of an engine. */
        LARGE(
                12,
                8,
                Shape.EVEN,
                new Kind("LONG", 57.8, 280, 10_512, 1_300, 48, 610, 8_130),
                new Kind("MIDDLE", 88.3, 285, 699, 130, 36, 304, 8_106),
                new Kind("SHORT", 169, 364, 2_041, 360, 3, 405, 2_530)),
        /** Of 23 routers and 29 engines: many small requests, and places for four times as many. */
        SHIFTED(
                64,
                13,
                new Shape(4, 0.7, 0.3),
                new Kind("LONG", 37.5, 224, 10_512, 1_300, 29, 619, 10_324),
                new Kind("MIDDLE", 244, 838, 699, 130, 22, 408, 8_159),
                new Kind("SHORT", 102, 403, 2_041, 360, 2, 510, 2_548));

        private final int mPlaces;
        private final int mTokensAnEvent;
        private final Shape mShape;
        private final List<Kind> mKinds;

        Fleet(int places, int tokensAnEvent, Shape shape, Kind... kinds) {
            mPlaces = places;
            mTokensAnEvent = tokensAnEvent;
            mShape = shape;
            mKinds = List.of(kinds);
        }
    }

    /**
     * Declares a load.
     *
     * @param routers that take it
     * @param engines that serve it
     * @param telling whether routers tell each other of the engines' load
     */
    record Setup(Fleet fleet, int routers, int engines, boolean telling) {}

    /** Counts what became of the requests that came in a span of time. */
    static final class Outcome {
        private int mRequests;
        private int mInTime;
        private int mLost;
        private int mOverBound;
        private int mSpilled;
        private long mTokensReadAgain;
        private long mTokensCopied;

        double shareInTime() {
            return (double) mInTime / mRequests;
        }

        /** Returns the share that met an engine with over twice the pool's mean load and three. */
        double shareOverBound() {
            return (double) mOverBound / mRequests;
        }

        /** Returns the share that left its home. */
        double shareSpilled() {
            return (double) mSpilled / mRequests;
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
    private final List<SpillShare> mSpills = new ArrayList<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final Map<Integer, Integer> mEngineByHash = new HashMap<>();
    private final Set<String> mEverRead = new HashSet<>();
    private SeatTable mSeats;
    private int mResting;
    private double mNow;
    private long mSequence;

    PoolModel(Setup setup, long seed) {
        mSetup = setup;
        mRandom = new SplittableRandom(seed);
        for (int r = 0; r < setup.routers(); r++) {
            mRouters.add(new ArrayList<>());
            mSpills.add(SpillShare.since(0));
        }
        join(setup.engines());
        mSeats = seats();
        if (setup.telling()) {
            at(0, this::tellAll);
        }
    }

    /** Adds empty engines without seats. */
    void join(int engines) {
        for (int i = 0; i < engines; i++) {
            int e = mEngines.size();
            mEngines.add(new Engine());
            mEngineByHash.put(target("engine-" + e).shortHash(), e);
            mRouters.forEach(targets -> targets.add(target("engine-" + e)));
        }
    }

    private SeatTable seats() {
        List<String> ids = new ArrayList<>();
        for (int e = 0; e < mEngines.size(); e++) {
            ids.add("engine-" + e);
        }
        return SeatTable.of(ids);
    }

    /** Takes the first engines of the pool out of service for a while, as in an evacuation. */
    void rest(int engines) {
        mResting = engines;
    }

    /** Lets one router in four look each 0.4 s whether engines without a seat should get one. */
    void planSeats() {
        boolean spilling =
                mSpills.subList(0, Math.max(1, mSpills.size() / 4)).stream()
                        .anyMatch(s -> s.isOutOfBalance((long) mNow));
        if (spilling) {
            mSeats = seats();
        }
        at(mNow + 400, this::planSeats);
    }

    private Target target(String id) {
        int places = mSetup.fleet().mPlaces;
        return Target.of(new TargetEntry(id, "pool", "10.0.0.1:1", "a", places, false, 0));
    }

    /** Plays so many seconds at a multiple of the usual rate, and counts what came in them. */
    Outcome play(double seconds, double multiple) {
        Outcome o = new Outcome();
        double end = mNow + seconds * 1_000;
        for (Kind k : mSetup.fleet().mKinds) {
            double at = mNow;
            while ((at += gap(k, multiple)) < end) {
                for (int i = 0; i < mSetup.fleet().mShape.clump(); i++) {
                    at(at, () -> arrive(k, o));
                }
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
        double perMilli = k.perSecond() * multiple / 1_000 / mSetup.fleet().mShape.clump();
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
        String key = kind.name() + "-" + keyOf(kind);
        List<Target> targets = mRouters.get(mRandom.nextInt(mRouters.size()));
        send(new Work(kind, key, mRouters.indexOf(targets), mNow, o));
    }

    /** Draws a prompt: by a power law over an interval, which the whole numbers cut into keys. */
    private int keyOf(Kind kind) {
        double skew = mSetup.fleet().mShape.skew();
        if (skew == 0) {
            return mRandom.nextInt(kind.keys());
        }
        return (int) (kind.keys() * Math.pow(mRandom.nextDouble(), 1 / (1 - skew)));
    }

    private void send(Work w) {
        List<Target> targets = mRouters.get(w.mRouter);
        List<Target> working = targets.subList(mResting, targets.size());
        PickRequest request = new PickRequest(w.mKey, w.mKind.shared(), mSeats, mResting);
        Pick pick = mPicker.pick(request, working, (long) mNow).orElseThrow();
        mSpills.get(w.mRouter).onPick(pick.reason(), (long) mNow);
        w.mOutcome.mSpilled += pick.reason() == Pick.Reason.HOME ? 0 : 1;
        Target t = pick.target();
        t.onRequestSent((long) mNow);
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
                .mapToLong(t -> t.loadReportAgeMillis((long) mNow))
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
            double mean = mEngines.stream().mapToInt(Engine::load).average().orElseThrow();
            w.mOutcome.mOverBound += load() > LOAD_MULTIPLE * mean + 3 ? 1 : 0;
            if (mRunning < mSetup.fleet().mPlaces) {
                begin(w);
                return;
            }
            mQueue.add(w);
        }

        private void begin(Work w) {
            mRunning++;
            mContext += w.mKind.shared() + w.mKind.own();
            double busy = w.mKind.own() / TOKENS_PER_MILLI;
            if (mRead.add(w.mKey)) {
                busy += bring(w);
            }
            mReaderFreeAt = Math.max(mNow, mReaderFreeAt) + busy;
            at(mReaderFreeAt + FIRST_MILLIS, () -> first(w));
        }

        /** Copies a prompt from the first in the key's order, or reads it; returns how long. */
        private double bring(Work w) {
            int tokens = w.mKind.shared();
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
            if (mNow - w.mCameAt <= w.mKind.objective()) {
                w.mOutcome.mInTime++;
            }
            if (mNow - w.mCameAt > w.mKind.deadline()) {
                w.mOutcome.mLost++;
            }
            w.mTarget.onLoadReported(load(), (long) mNow);
            double step = STEP_MILLIS + MILLIS_PER_K * mContext / 1_000;
            double event = mSetup.fleet().mTokensAnEvent * step;
            at(mNow + events(w.mKind) * event, () -> end(w));
        }

        private double events(Kind kind) {
            double spread = mSetup.fleet().mShape.spread();
            if (spread == 0) {
                return kind.events();
            }
            return kind.events() * Math.exp(spread * mRandom.nextGaussian() - spread * spread / 2);
        }

        private void end(Work w) {
            w.mTarget.onRequestEnded();
            mRunning--;
            mContext -= w.mKind.shared() + w.mKind.own();
            if (!mQueue.isEmpty()) {
                begin(mQueue.poll());
            }
        }
    }
}
