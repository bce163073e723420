package org.forkseam.core.route;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.share.LoadGossip;
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
 * Simulates a pool of engines and its routers in virtual time, to test target selection under load.
 *
 * <p>An engine prefills one prompt at a time, caches every prompt and runs one decode step at a
 * time. A router learns an engine's load with the first event of each answer, and from other
 * routers if gossip is on.
 */
final class PoolSimulation {
    private static final double PREFILL_TOKENS_PER_MILLI = 140;
    private static final double COPIED_TOKENS_PER_MILLI = 1_050;
    private static final double COPY_SETUP_MILLIS = 1.7;
    private static final double STEP_MILLIS = 2.2;
    private static final double FIRST_TOKEN_MILLIS = 53;
    private static final double STEP_MILLIS_PER_1K_TOKENS = 0.0175;
    private static final double NETWORK_DELAY_MILLIS = 0.5;
    private static final double LOAD_MULTIPLE = 2;
    private static final int MARGIN = 2;

    /**
     * Describes a class of requests.
     *
     * @param keys number of distinct shared prompts
     * @param sharedTokens tokens of a shared prompt
     * @param uniqueTokens additional tokens of each request
     * @param events events in an answer
     * @param objective time to the first token within which a request is served in time, in
     *     milliseconds
     * @param deadline time to the first token after which the client has left, in milliseconds
     */
    record RequestClass(
            String name,
            double perSecond,
            int keys,
            int sharedTokens,
            int uniqueTokens,
            int events,
            double objective,
            double deadline) {}

    /**
     * Describes how uneven a fleet's requests are.
     *
     * @param batch requests that arrive at the same time
     * @param lengthSigma standard deviation of the logarithm of the answers' length
     * @param skew exponent of the power law by which shared prompts are requested
     */
    record Distribution(int batch, double lengthSigma, double skew) {
        private static final Distribution EVEN = new Distribution(1, 0, 0);
    }

    /** Describes a fleet's engines and usual requests. */
    enum Fleet {
        /** Few slots per engine and many routers. */
        LARGE(
                12,
                8,
                Distribution.EVEN,
                new RequestClass("LONG", 57.8, 280, 10_512, 1_300, 48, 610, 8_130),
                new RequestClass("MIDDLE", 88.3, 285, 699, 130, 36, 304, 8_106),
                new RequestClass("SHORT", 169, 364, 2_041, 360, 3, 405, 2_530)),
        /** Many slots per engine and small, skewed requests. */
        SHIFTED(
                64,
                13,
                new Distribution(4, 0.7, 0.3),
                new RequestClass("LONG", 37.5, 224, 10_512, 1_300, 29, 619, 10_324),
                new RequestClass("MIDDLE", 244, 838, 699, 130, 22, 408, 8_159),
                new RequestClass("SHORT", 102, 403, 2_041, 360, 2, 510, 2_548));

        private final int mSlots;
        private final int mTokensPerEvent;
        private final Distribution mDistribution;
        private final List<RequestClass> mClasses;

        Fleet(int slots, int tokensPerEvent, Distribution distribution, RequestClass... classes) {
            mSlots = slots;
            mTokensPerEvent = tokensPerEvent;
            mDistribution = distribution;
            mClasses = List.of(classes);
        }
    }

    /**
     * Describes the size of a simulation.
     *
     * @param routers number of routers
     * @param engines number of engines
     * @param gossip whether routers exchange load readings
     */
    record Setup(Fleet fleet, int routers, int engines, boolean gossip) {}

    /** Counts the outcomes of the requests that arrived during a run. */
    static final class Outcome {
        private int mRequests;
        private int mInTime;
        private int mExpired;
        private int mOverBound;
        private int mSpilled;
        private long mTokensRecomputed;
        private long mTokensCopied;

        double shareInTime() {
            return (double) mInTime / mRequests;
        }

        /** Returns the share that met an engine over the load bound. */
        double shareOverBound() {
            return (double) mOverBound / mRequests;
        }

        /** Returns the share not served by its home. */
        double shareSpilled() {
            return (double) mSpilled / mRequests;
        }

        int expired() {
            return mExpired;
        }

        long tokensCopied() {
            return mTokensCopied;
        }

        long tokensRecomputed() {
            return mTokensRecomputed;
        }
    }

    private final Setup mSetup;
    private final SplittableRandom mRandom;
    private final BoundedLoadPicker mPicker = BoundedLoadPicker.of(LOAD_MULTIPLE, MARGIN);
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<List<Target>> mRouters = new ArrayList<>();
    private final List<SpillRate> mSpillRates = new ArrayList<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final Map<Integer, Integer> mEngineByHash = new HashMap<>();
    private final Set<String> mEverPrefilled = new HashSet<>();
    private ShardTable mShards;
    private int mEvacuated;
    private double mNow;
    private long mSequence;

    PoolSimulation(Setup setup, long seed) {
        mSetup = setup;
        mRandom = new SplittableRandom(seed);
        for (int r = 0; r < setup.routers(); r++) {
            mRouters.add(new ArrayList<>());
            mSpillRates.add(SpillRate.startingAt(0));
        }
        join(setup.engines());
        mShards = allShards();
        if (setup.gossip()) {
            schedule(0, this::gossipAll);
        }
    }

    /** Adds engines with empty caches and without shards. */
    void join(int engines) {
        for (int i = 0; i < engines; i++) {
            int e = mEngines.size();
            mEngines.add(new Engine());
            mEngineByHash.put(target("engine-" + e).shortHash(), e);
            mRouters.forEach(targets -> targets.add(target("engine-" + e)));
        }
    }

    private ShardTable allShards() {
        List<String> ids = new ArrayList<>();
        for (int e = 0; e < mEngines.size(); e++) {
            ids.add("engine-" + e);
        }
        return ShardTable.of(ids);
    }

    /** Makes the first engines of the pool idle. */
    void evacuate(int engines) {
        mEvacuated = engines;
    }

    /**
     * Assigns shards to all engines when a quarter of the routers sees an imbalance; checked every
     * 400 ms.
     */
    void planShards() {
        boolean imbalanced =
                mSpillRates.subList(0, Math.max(1, mSpillRates.size() / 4)).stream()
                        .anyMatch(s -> s.isImbalanced((long) mNow));
        if (imbalanced) {
            mShards = allShards();
        }
        schedule(mNow + 400, this::planShards);
    }

    private Target target(String id) {
        int slots = mSetup.fleet().mSlots;
        return Target.of(new TargetEntry(id, "pool", "10.0.0.1:1", "a", slots, false, 0));
    }

    /**
     * Simulates a time span at a multiple of the usual rate and counts the requests that arrive in
     * it.
     */
    Outcome run(double seconds, double multiple) {
        Outcome o = new Outcome();
        double end = mNow + seconds * 1_000;
        for (RequestClass requestClass : mSetup.fleet().mClasses) {
            double at = mNow;
            while ((at += interarrivalMillis(requestClass, multiple)) < end) {
                for (int i = 0; i < mSetup.fleet().mDistribution.batch(); i++) {
                    schedule(at, () -> arrive(requestClass, o));
                }
            }
        }
        while (!mEvents.isEmpty() && mEvents.peek().at() < end) {
            step();
        }
        mNow = end;
        return o;
    }

    /** Simulates a time span without new requests. */
    void drain(double seconds) {
        run(seconds, 0);
    }

    private double interarrivalMillis(RequestClass requestClass, double multiple) {
        double perMilli =
                requestClass.perSecond() * multiple / 1_000 / mSetup.fleet().mDistribution.batch();
        return perMilli == 0 ? Double.MAX_VALUE : -Math.log(1 - mRandom.nextDouble()) / perMilli;
    }

    private void schedule(double millis, Runnable what) {
        mEvents.add(new Event(millis, mSequence++, what));
    }

    private void step() {
        Event e = mEvents.poll();
        mNow = e.at();
        e.action().run();
    }

    /** An action scheduled at a point in virtual time. */
    private record Event(double at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int byTime = Double.compare(at, o.at);
            return byTime != 0 ? byTime : Long.compare(sequence, o.sequence);
        }
    }

    // ---------------------------------------------------------------- routers

    private void gossipAll() {
        for (List<Target> targets : mRouters) {
            List<Target> other = mRouters.get(mRandom.nextInt(mRouters.size()));
            LoadGossip.apply(
                    LoadGossip.newestReadings(targets, (long) mNow),
                    hash -> Optional.ofNullable(mEngineByHash.get(hash)).map(other::get),
                    (long) mNow);
        }
        schedule(mNow + LoadGossip.PERIOD_MILLIS, this::gossipAll);
    }

    private void arrive(RequestClass requestClass, Outcome o) {
        o.mRequests++;
        String key = requestClass.name() + "-" + drawKey(requestClass);
        List<Target> targets = mRouters.get(mRandom.nextInt(mRouters.size()));
        send(new SimulatedRequest(requestClass, key, mRouters.indexOf(targets), mNow, o));
    }

    /** Draws the index of a shared prompt from a power-law distribution. */
    private int drawKey(RequestClass requestClass) {
        double skew = mSetup.fleet().mDistribution.skew();
        if (skew == 0) {
            return mRandom.nextInt(requestClass.keys());
        }
        return (int) (requestClass.keys() * Math.pow(mRandom.nextDouble(), 1 / (1 - skew)));
    }

    private void send(SimulatedRequest simulated) {
        List<Target> targets = mRouters.get(simulated.mRouter);
        List<Target> active = targets.subList(mEvacuated, targets.size());
        PickRequest request =
                new PickRequest(
                        simulated.mKey, simulated.mClass.sharedTokens(), mShards, mEvacuated);
        Pick pick = mPicker.pick(request, active, (long) mNow).orElseThrow();
        mSpillRates.get(simulated.mRouter).onPick(pick.reason(), (long) mNow);
        simulated.mOutcome.mSpilled += pick.reason() == Pick.Reason.HOME ? 0 : 1;
        Target t = pick.target();
        t.onRequestSent((long) mNow);
        simulated.mTarget = t;
        simulated.mEngine = mEngines.get(targets.indexOf(t));
        schedule(mNow + NETWORK_DELAY_MILLIS, () -> simulated.mEngine.enqueue(simulated));
    }

    private Engine homeOf(String key) {
        String id = mShards.preferenceOrder(Hashes.of(key)).get(0);
        return mEngines.get(mShards.owners().indexOf(id));
    }

    /** Returns the mean age of the routers' load readings in milliseconds. */
    double meanReadingAge() {
        return mRouters.stream()
                .flatMap(List::stream)
                .mapToLong(t -> t.loadReportAgeMillis((long) mNow))
                .map(age -> age < 0 ? 10_000 : age)
                .average()
                .orElseThrow();
    }

    // ---------------------------------------------------------------- engines

    /** A request sent to an engine. */
    private static final class SimulatedRequest {
        private final RequestClass mClass;
        private final String mKey;
        private final int mRouter;
        private final double mArrivedAt;
        private final Outcome mOutcome;
        private Target mTarget;
        private Engine mEngine;

        SimulatedRequest(
                RequestClass requestClass, String key, int router, double cameAt, Outcome o) {
            mClass = requestClass;
            mKey = key;
            mRouter = router;
            mArrivedAt = cameAt;
            mOutcome = o;
        }
    }

    /** An engine with its slots, queue and prompt cache. */
    private final class Engine {
        private final Deque<SimulatedRequest> mQueue = new ArrayDeque<>();
        private final Set<String> mCachedPrompts = new HashSet<>();
        private int mRunning;
        private int mContextTokens;
        private double mPrefillFreeAt;

        int load() {
            return mRunning + mQueue.size();
        }

        void enqueue(SimulatedRequest simulated) {
            double mean = mEngines.stream().mapToInt(Engine::load).average().orElseThrow();
            simulated.mOutcome.mOverBound += load() > LOAD_MULTIPLE * mean + 3 ? 1 : 0;
            if (mRunning < mSetup.fleet().mSlots) {
                begin(simulated);
                return;
            }
            mQueue.add(simulated);
        }

        private void begin(SimulatedRequest simulated) {
            mRunning++;
            mContextTokens += simulated.mClass.sharedTokens() + simulated.mClass.uniqueTokens();
            double prefillMillis = simulated.mClass.uniqueTokens() / PREFILL_TOKENS_PER_MILLI;
            if (mCachedPrompts.add(simulated.mKey)) {
                prefillMillis += prefixMillis(simulated);
            }
            mPrefillFreeAt = Math.max(mNow, mPrefillFreeAt) + prefillMillis;
            schedule(mPrefillFreeAt + FIRST_TOKEN_MILLIS, () -> onFirstToken(simulated));
        }

        /** Copies a prompt from its home or prefills it; returns the time that takes. */
        private double prefixMillis(SimulatedRequest simulated) {
            int tokens = simulated.mClass.sharedTokens();
            Engine source = homeOf(simulated.mKey);
            if (source != this && source.mCachedPrompts.contains(simulated.mKey)) {
                simulated.mOutcome.mTokensCopied += tokens;
                return COPY_SETUP_MILLIS + tokens / COPIED_TOKENS_PER_MILLI;
            }
            if (!mEverPrefilled.add(simulated.mKey)) {
                simulated.mOutcome.mTokensRecomputed += tokens;
            }
            return tokens / PREFILL_TOKENS_PER_MILLI;
        }

        private void onFirstToken(SimulatedRequest simulated) {
            if (mNow - simulated.mArrivedAt <= simulated.mClass.objective()) {
                simulated.mOutcome.mInTime++;
            }
            if (mNow - simulated.mArrivedAt > simulated.mClass.deadline()) {
                simulated.mOutcome.mExpired++;
            }
            simulated.mTarget.onLoadReported(load(), (long) mNow);
            double step = STEP_MILLIS + STEP_MILLIS_PER_1K_TOKENS * mContextTokens / 1_000;
            double event = mSetup.fleet().mTokensPerEvent * step;
            schedule(mNow + drawEvents(simulated.mClass) * event, () -> onEnd(simulated));
        }

        private double drawEvents(RequestClass requestClass) {
            double sigma = mSetup.fleet().mDistribution.lengthSigma();
            if (sigma == 0) {
                return requestClass.events();
            }
            return requestClass.events()
                    * Math.exp(sigma * mRandom.nextGaussian() - sigma * sigma / 2);
        }

        private void onEnd(SimulatedRequest simulated) {
            simulated.mTarget.onRequestEnded();
            mRunning--;
            mContextTokens -= simulated.mClass.sharedTokens() + simulated.mClass.uniqueTokens();
            if (!mQueue.isEmpty()) {
                begin(mQueue.poll());
            }
        }
    }
}
