package org.forkseam.core.place;

import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/** Model of the callers and engines of a pool in virtual time; see {@link EngineModel}. */
final class PoolModel {
    /** Requests arrive for this long. */
    static final long ARRIVAL_MILLIS = 4_000;

    /** Engines for which the number of keys on the page is given; it grows with the engines. */
    private static final int PAGE_ENGINES = 29;

    private static final long RUN_MILLIS = 20_000;
    private static final int CLUMP = 3;
    private static final double CLUMP_MILLIS = 20;
    private static final double[] SPEEDS = {1, 1, 1.3};
    private static final double SLOW_FRACTION = 0.15;
    private static final double SLOW_FACTOR = 2.5;
    private static final long REDRAW_MILLIS = 600;
    private static final double POPULARITY = 0.7;
    private static final double MAX_GAP_MILLIS = 250;
    private static final double LATE_WORTH = 0.1;

    /** Time between router and caller that counts in the objective. */
    private static final double CALLER_MILLIS = 6;

    private final Random mRandom;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<EngineModel> mEngines = new ArrayList<>();
    private final List<List<Key>> mKeys = new ArrayList<>();
    private final Router mRouter;
    private final int mRouters;
    private double mNow;
    private long mSequence;
    private double mPossible;
    private double mReached;

    /** Routes of the page: shares, objectives, lengths and worth. */
    private enum Route {
        DIGEST(0.303, 615, 3.8, 164, 4, 2_520, 6_100, new Length(580, 1, 7_900), 13),
        PAGE(0.384, 508, 2.0, 312, 16, 341, 1_700, new Length(360, 1.3, 1_400), 5.64),
        SUGGESTION(0.313, 306, 0.55, 169, 16, 103, 500, new Length(110, 0.89, 460), 70);

        private final double mShare;
        private final double mObjective;
        private final double mWorth;
        private final int mKeys;
        private final int mHeads;
        private final Length mHead;
        private final Length mOwn;
        private final Length mUnique;
        private final Length mEvents;

        Route(
                double share,
                double objective,
                double worth,
                int keys,
                int heads,
                double head,
                double own,
                Length unique,
                double events) {
            mShare = share;
            mObjective = objective;
            mWorth = worth;
            mKeys = keys;
            mHeads = heads;
            mHead = new Length(head, 0.4, 2.5 * head);
            mOwn = new Length(own, 0.7, 3 * own);
            mUnique = unique;
            mEvents = new Length(events, 1.6, 4 * events);
        }
    }

    /** A log-normal distribution that is cut off. */
    private record Length(double mean, double sigma, double max) {
        int draw(Random random) {
            double x = Math.log(mean) - sigma * sigma / 2 + sigma * random.nextGaussian();
            return (int) Math.max(1, Math.min(max, Math.exp(x)));
        }
    }

    /** The shared parts of a prompt. */
    record Key(long hash, long head, int headTokens, int sharedTokens) {}

    /** A request of a caller. */
    static final class Request {
        private final Route mRoute;
        private final Key mKey;
        private final int mRouter;
        private final int mPromptTokens;
        private final int mEvents;
        private final double mArrivedAt;
        private double mFirstAt;
        private double mLastAt;
        private double mMaxGap;

        private Request(Route route, Key key, int router, Random random, double now) {
            mRoute = route;
            mKey = key;
            mRouter = router;
            mPromptTokens = key.sharedTokens() + route.mUnique.draw(random);
            mEvents = route.mEvents.draw(random);
            mArrivedAt = now;
        }

        Key key() {
            return mKey;
        }

        int router() {
            return mRouter;
        }

        int promptTokens() {
            return mPromptTokens;
        }

        int events() {
            return mEvents;
        }

        private boolean isInTime() {
            return mFirstAt - mArrivedAt + CALLER_MILLIS <= mRoute.mObjective
                    && mMaxGap <= MAX_GAP_MILLIS;
        }
    }

    /** Routers as seen by the model. */
    interface Router {
        /** Sends a request to an engine by {@link PoolModel#send}. */
        void onRequest(Request r);

        /** Handles the first event of a request. */
        void onFirstEvent(Request r, EngineModel engine);

        /** Handles the end of a request. */
        void onEnd(Request r, EngineModel engine);
    }

    /** A task at a time. */
    private record Event(double at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int byTime = Double.compare(at, o.at);
            return byTime != 0 ? byTime : Long.compare(sequence, o.sequence);
        }
    }

    PoolModel(int engines, int routers, long seed, Router router) {
        mRandom = new Random(seed);
        mRouter = router;
        mRouters = routers;
        for (int i = 0; i < engines; i++) {
            mEngines.add(new EngineModel(this, SPEEDS[i % SPEEDS.length]));
        }
        for (Route route : Route.values()) {
            mKeys.add(drawKeys(route, Math.max(1, engines / PAGE_ENGINES)));
        }
    }

    private List<Key> drawKeys(Route route, int scale) {
        List<Key> keys = new ArrayList<>();
        int[] heads = new int[scale * route.mHeads];
        for (int i = 0; i < heads.length; i++) {
            heads[i] = route.mHead.draw(mRandom);
        }
        for (int i = 0; i < scale * route.mKeys; i++) {
            int head = i % heads.length;
            keys.add(
                    new Key(
                            Hashes.of(route + "/key/" + i),
                            Hashes.of(route + "/head/" + head),
                            heads[head],
                            heads[head] + route.mOwn.draw(mRandom)));
        }
        return keys;
    }

    List<EngineModel> engines() {
        return mEngines;
    }

    List<Key> keys() {
        return mKeys.stream().flatMap(List::stream).toList();
    }

    double now() {
        return mNow;
    }

    Random random() {
        return mRandom;
    }

    void after(double millis, Runnable task) {
        mEvents.add(new Event(mNow + millis, mSequence++, task));
    }

    void every(double millis, Runnable task) {
        task.run();
        after(millis, () -> every(millis, task));
    }

    /** Sends a request to an engine, optionally with a source from which to copy its prompt. */
    void send(Request r, EngineModel engine, EngineModel source) {
        after(0.5, () -> engine.add(new EngineModel.Work(r, source)));
    }

    /** Returns the reached fraction of the worth of all requests. */
    double run(double requestsPerSecond) {
        every(REDRAW_MILLIS, this::redrawSlowEngines);
        double clumpMillis = 1_000 * CLUMP / requestsPerSecond;
        double at = 0;
        while (at < ARRIVAL_MILLIS) {
            at += -Math.log(1 - mRandom.nextDouble()) * clumpMillis;
            for (int i = 0; i < CLUMP; i++) {
                after(at + mRandom.nextDouble() * CLUMP_MILLIS, this::arrive);
            }
        }
        while (mEvents.peek().at() < RUN_MILLIS) {
            Event e = mEvents.poll();
            mNow = e.at();
            e.task().run();
        }
        return mReached / mPossible;
    }

    private void redrawSlowEngines() {
        mEngines.forEach(e -> e.setSlow(mRandom.nextDouble() < SLOW_FRACTION ? SLOW_FACTOR : 1));
    }

    private void arrive() {
        double u = mRandom.nextDouble();
        Route route = Route.DIGEST;
        for (Route r : Route.values()) {
            route = r;
            u -= r.mShare;
            if (u < 0) {
                break;
            }
        }
        double rank = Math.pow(mRandom.nextDouble(), 1 / POPULARITY);
        List<Key> keys = mKeys.get(route.ordinal());
        Key key = keys.get((int) (keys.size() * rank));
        Request r = new Request(route, key, mRandom.nextInt(mRouters), mRandom, mNow);
        mPossible += route.mWorth;
        mReached += LATE_WORTH * route.mWorth;
        mRouter.onRequest(r);
    }

    void onEvent(Request r, EngineModel engine, boolean last) {
        if (r.mFirstAt == 0) {
            r.mFirstAt = mNow;
            mRouter.onFirstEvent(r, engine);
        } else {
            r.mMaxGap = Math.max(r.mMaxGap, mNow - r.mLastAt);
        }
        r.mLastAt = mNow;
        if (last) {
            mReached += r.isInTime() ? (1 - LATE_WORTH) * r.mRoute.mWorth : 0;
            mRouter.onEnd(r, engine);
        }
    }
}
