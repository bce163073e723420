package org.forkseam.core.place;

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

    /** Routes of the page, with lengths in tokens and the mean number of events. */
    private record Route(
            double share,
            double objective,
            double worth,
            int keys,
            int heads,
            double head,
            double own,
            Length unique,
            double events) {
        private static final List<Route> ALL =
                List.of(
                        new Route(
                                0.303,
                                615,
                                3.8,
                                164,
                                4,
                                2_520,
                                6_100,
                                new Length(580, 1, 7_900),
                                13),
                        new Route(
                                0.384,
                                508,
                                2.0,
                                312,
                                16,
                                341,
                                1_700,
                                new Length(360, 1.3, 1_400),
                                5.64),
                        new Route(
                                0.313,
                                306,
                                0.55,
                                169,
                                16,
                                103,
                                500,
                                new Length(110, 0.89, 460),
                                70));
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
    record Request(
            Route route, Key key, int router, int promptTokens, int events, Progress progress) {}

    /** Arrival and events of a request. */
    private static final class Progress {
        private final double mArrivedAt;
        private double mFirstAt;
        private double mLastAt;
        private double mMaxGap;

        private Progress(double arrivedAt) {
            mArrivedAt = arrivedAt;
        }

        private boolean isInTime(Route route) {
            return mFirstAt - mArrivedAt + CALLER_MILLIS <= route.objective()
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
        for (Route route : Route.ALL) {
            mKeys.add(drawKeys(route, Math.max(1, engines / PAGE_ENGINES)));
        }
    }

    private List<Key> drawKeys(Route route, int scale) {
        List<Key> keys = new ArrayList<>();
        Length own = new Length(route.own(), 0.7, 3 * route.own());
        int[] headTokens = new int[scale * route.heads()];
        long[] heads = new long[headTokens.length];
        for (int i = 0; i < heads.length; i++) {
            heads[i] = mRandom.nextLong();
            headTokens[i] = new Length(route.head(), 0.4, 2.5 * route.head()).draw(mRandom);
        }
        for (int i = 0; i < scale * route.keys(); i++) {
            int head = i % heads.length;
            int sharedTokens = headTokens[head] + own.draw(mRandom);
            keys.add(new Key(mRandom.nextLong(), heads[head], headTokens[head], sharedTokens));
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
        int i = 0;
        while (i < Route.ALL.size() - 1 && u >= Route.ALL.get(i).share()) {
            u -= Route.ALL.get(i++).share();
        }
        Route route = Route.ALL.get(i);
        double rank = Math.pow(mRandom.nextDouble(), 1 / POPULARITY);
        List<Key> keys = mKeys.get(i);
        Key key = keys.get((int) (keys.size() * rank));
        Request r =
                new Request(
                        route,
                        key,
                        mRandom.nextInt(mRouters),
                        key.sharedTokens() + route.unique().draw(mRandom),
                        new Length(route.events(), 1.6, 4 * route.events()).draw(mRandom),
                        new Progress(mNow));
        mPossible += route.worth();
        mReached += LATE_WORTH * route.worth();
        mRouter.onRequest(r);
    }

    void onEvent(Request r, EngineModel engine, boolean last) {
        Progress p = r.progress();
        if (p.mFirstAt == 0) {
            p.mFirstAt = mNow;
            mRouter.onFirstEvent(r, engine);
        } else {
            p.mMaxGap = Math.max(p.mMaxGap, mNow - p.mLastAt);
        }
        p.mLastAt = mNow;
        if (last) {
            mReached += p.isInTime(r.route()) ? (1 - LATE_WORTH) * r.route().worth() : 0;
            mRouter.onEnd(r, engine);
        }
    }
}
