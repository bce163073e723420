package org.forkseam.daemon.sidecar;

import org.forkseam.core.admit.Admission;
import org.forkseam.core.admit.FairQueue;
import org.forkseam.core.cfg.PoolSpec;
import org.forkseam.core.cfg.TeamSpec;
import org.forkseam.core.load.LoadDigest;
import org.forkseam.core.load.PoolLoad;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.core.outcome.RetryAfter;
import org.forkseam.core.util.Clock;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Counts what a target carries, and lets requests in, hold or turn away.
 *
 * <p>The target's true load is known here and nowhere else. Not thread-safe; used on the event
 * loop.
 *
 * @param <T> what is let in
 * @since 0.1
 */
public final class TargetGate<T> {
    private static final double FIRST_SERVICE_MILLIS = 200;
    private static final double SMOOTHING = 0.05;
    private static final long TOLD_MILLIS = 1_000;
    private static final double TOLD_SMOOTHING = 0.5;
    private static final int QUEUE_LIMIT_WITHOUT_POOL = 256;

    private final String mTarget;
    private final int mCapacity;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final Starter<T> mStarter;
    private final Map<String, PoolLoad> mPools = new HashMap<>();
    private final Map<String, Others> mOthers = new HashMap<>();
    private FairQueue<T> mQueue = FairQueue.of(QUEUE_LIMIT_WITHOUT_POOL);
    private int mQueueLimit = QUEUE_LIMIT_WITHOUT_POOL;
    private int mRunning;
    private boolean mLeaving;
    private long mSequence;
    private double mServiceMillis = FIRST_SERVICE_MILLIS;
    private int mMaxLoad;

    /** Holds what routers say of the other targets' load together. */
    private record Others(double load, long atMillis) {}

    /** Is told when a waiting request may start, or must go. */
    public interface Starter<T> {
        /** Starts a request; {@link #release} must follow when it ends. */
        void onTurn(T item);

        /** Turns a waiting request away. */
        void onRefused(T item, AttemptFailure why);
    }

    private TargetGate(
            String target, int capacity, Clock clock, RandomGenerator random, Starter<T> starter) {
        mTarget = target;
        mCapacity = capacity;
        mClock = clock;
        mRandom = random;
        mStarter = starter;
    }

    /** Creates the gate of a target that runs {@code capacity} requests at once. */
    public static <T> TargetGate<T> of(
            String target, int capacity, Clock clock, RandomGenerator random, Starter<T> starter) {
        return new TargetGate<>(target, capacity, clock, random, starter);
    }

    // ---------------------------------------------------------------- what is known of the pool

    /** Sets the members of a pool; others are forgotten. */
    public void setMembers(String pool, Set<String> members) {
        mPools.computeIfAbsent(pool, k -> new PoolLoad()).retain(members);
    }

    /** Takes a digest of another target in. */
    public void onDigest(LoadDigest digest) {
        if (digest.target().equals(mTarget)) {
            return;
        }
        mPools.values().forEach(p -> p.merge(digest));
    }

    /**
     * Takes in what a router reckons the pool's other targets carry.
     *
     * @param afterRefusals whether it rests on the words of all of them, said just now
     */
    public void onOthersLoad(String pool, int load, boolean afterRefusals) {
        long now = mClock.nowMillis();
        Others old = mOthers.get(pool);
        boolean mix = old != null && !afterRefusals && now - old.atMillis() <= TOLD_MILLIS;
        double next = mix ? old.load() + TOLD_SMOOTHING * (load - old.load()) : load;
        mOthers.put(pool, new Others(next, now));
    }

    /** Returns the digest of this target. */
    public LoadDigest digest() {
        mSequence = Math.max(mSequence, mClock.nowMillis());
        return new LoadDigest(mTarget, mSequence, load(), mCapacity, mLeaving, mClock.nowMillis());
    }

    /** Returns requests running and waiting. */
    public int load() {
        return mRunning + mQueue.size();
    }

    /** Returns requests running. */
    public int running() {
        return mRunning;
    }

    /** Returns whether the target takes no new work. */
    public boolean isLeaving() {
        return mLeaving;
    }

    /** Makes the target take no new work from this instant, or take it again. */
    public void setLeaving(boolean leaving) {
        if (leaving != mLeaving) {
            mLeaving = leaving;
            touch();
        }
    }

    private void touch() {
        mSequence = Math.max(mSequence + 1, mClock.nowMillis());
        mMaxLoad = Math.max(mMaxLoad, load());
    }

    // ---------------------------------------------------------------- letting in

    /**
     * Lets a request in, which starts it at once or later, or returns why not.
     *
     * @param item the request
     * @param pool the pool it was routed to
     * @param poolCapacity capacity of the whole pool
     * @param memberCount targets of the pool
     */
    public Optional<AttemptFailure> enter(
            T item,
            PoolSpec pool,
            long poolCapacity,
            int memberCount,
            TeamSpec team,
            int priority,
            long deadlineMillis) {
        setQueueLimit(pool.queueLimit());
        long now = mClock.nowMillis();
        Admission.Snapshot facts = facts(pool, poolCapacity, memberCount);
        int ahead = mQueue.aheadOf(team.name(), team.weight());
        Optional<RefusalReason> no = Admission.refusalReason(facts, ahead, deadlineMillis - now);
        if (no.isPresent()) {
            return Optional.of(AttemptFailure.notRun(no.get(), retryAfter(facts, ahead)));
        }
        if (mRunning < mCapacity) {
            start(item);
            return Optional.empty();
        }
        if (mQueueLimit == 0) {
            return Optional.of(
                    AttemptFailure.notRun(RefusalReason.QUEUE_FULL, retryAfter(facts, ahead)));
        }
        Optional<FairQueue.Waiting<T>> out =
                mQueue.add(item, team.name(), team.weight(), priority, deadlineMillis);
        touch();
        if (out.isEmpty()) {
            return Optional.empty();
        }
        boolean itself = out.get().item() == item;
        RefusalReason why = itself ? RefusalReason.QUEUE_FULL : RefusalReason.FAIR_SHARE;
        AttemptFailure refused = AttemptFailure.notRun(why, retryAfter(facts, mQueue.size()));
        if (itself) {
            return Optional.of(refused);
        }
        mStarter.onRefused(out.get().item(), refused);
        return Optional.empty();
    }

    private Admission.Snapshot facts(PoolSpec pool, long poolCapacity, int memberCount) {
        Others told = mOthers.get(pool.name());
        boolean fresh = told != null && mClock.nowMillis() - told.atMillis() <= TOLD_MILLIS;
        long others = fresh ? Math.round(told.load()) : heardOf(pool.name(), memberCount);
        return new Admission.Snapshot(
                mLeaving,
                mRunning,
                mQueue.size(),
                mCapacity,
                others,
                Math.max(poolCapacity, mCapacity),
                pool.maxLoadMultiple(),
                mServiceMillis);
    }

    /** Targets not heard of yet are taken to carry what the others carry on average. */
    private long heardOf(String pool, int memberCount) {
        PoolLoad heard = mPools.computeIfAbsent(pool, k -> new PoolLoad());
        int unheard = Math.max(0, memberCount - 1 - heard.size());
        double mean = heard.size() == 0 ? load() : (double) heard.totalLoad() / heard.size();
        return heard.totalLoad() + Math.round(unheard * mean);
    }

    private long retryAfter(Admission.Snapshot facts, int ahead) {
        return RetryAfter.withJitter(Admission.expectedWaitMillis(facts, ahead), mRandom);
    }

    private void setQueueLimit(int limit) {
        if (limit != mQueueLimit && mQueue.size() == 0) {
            mQueueLimit = limit;
            mQueue = FairQueue.of(Math.max(1, limit));
        }
    }

    private void start(T item) {
        mRunning++;
        touch();
        mStarter.onTurn(item);
    }

    /** Counts a request that already runs at the target, whoever let it in. */
    public void enterRunning() {
        mRunning++;
        touch();
    }

    /** Notes that a started request has ended after so long, or at once if it never ran. */
    public void release(long ranMillis) {
        mRunning--;
        if (ranMillis > 0) {
            mServiceMillis += SMOOTHING * (ranMillis - mServiceMillis);
        }
        touch();
        expire();
        if (mRunning < mCapacity) {
            mQueue.poll().ifPresent(w -> start(w.item()));
        }
    }

    /** Turns away the waiting requests whose deadline has passed. */
    public void expire() {
        List<FairQueue.Waiting<T>> gone = mQueue.expire(mClock.nowMillis());
        if (gone.isEmpty()) {
            return;
        }
        touch();
        long after = RetryAfter.withJitter((long) mServiceMillis, mRandom);
        AttemptFailure why = AttemptFailure.notRun(RefusalReason.DEADLINE, after);
        gone.forEach(w -> mStarter.onRefused(w.item(), why));
    }

    /** Takes a waiting request out; returns false if it does not wait. */
    public boolean leaveQueue(T item) {
        boolean was = mQueue.remove(item);
        if (was) {
            touch();
        }
        return was;
    }

    /** Returns a dump of the gate. */
    public Map<String, Object> dump() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("target", mTarget);
        m.put("capacity", mCapacity);
        m.put("running", mRunning);
        m.put("queued", mQueue.size());
        m.put("max_load", mMaxLoad);
        m.put("leaving", mLeaving);
        m.put("service_ms", mServiceMillis);
        Map<String, Object> pools = new LinkedHashMap<>();
        mPools.forEach((n, p) -> pools.put(n, Map.of("heard", p.size(), "load", p.totalLoad())));
        m.put("pools", pools);
        return m;
    }
}
