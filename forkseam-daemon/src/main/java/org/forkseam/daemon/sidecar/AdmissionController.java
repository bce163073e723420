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
 * Tracks the load of a target, and admits, queues or refuses requests.
 *
 * <p>This is the only place that knows the target's exact load. Not thread-safe; used on the event
 * loop.
 *
 * @param <T> type of the requests
 * @since 0.1
 */
public final class AdmissionController<T> {
    private static final double INITIAL_SERVICE_MILLIS = 200;
    private static final double SERVICE_SMOOTHING_FACTOR = 0.05;
    private static final long REPORT_TTL_MILLIS = 1_000;
    private static final double REPORT_SMOOTHING_FACTOR = 0.5;
    private static final int DEFAULT_QUEUE_LIMIT = 256;

    private final String mTarget;
    private final int mCapacity;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final Listener<T> mListener;
    private final Map<String, PoolLoad> mDigestLoads = new HashMap<>();
    private final Map<String, ReportedLoad> mReportedLoads = new HashMap<>();
    private FairQueue<T> mQueue = FairQueue.of(DEFAULT_QUEUE_LIMIT);
    private int mQueueLimit = DEFAULT_QUEUE_LIMIT;
    private int mRunning;
    private boolean mLeaving;
    private long mSequence;
    private double mMeanServiceMillis = INITIAL_SERVICE_MILLIS;
    private int mMaxLoad;

    /** Total load of a pool's other targets as reported by routers. */
    private record ReportedLoad(double load, long atMillis) {}

    /** Receives the decisions on requests. */
    public interface Listener<T> {
        /** Starts a request; {@link #release} must be called when it ends. */
        void onAdmitted(T item);

        /** Refuses a queued request. */
        void onRefused(T item, AttemptFailure why);
    }

    private AdmissionController(
            String target,
            int capacity,
            Clock clock,
            RandomGenerator random,
            Listener<T> listener) {
        mTarget = target;
        mCapacity = capacity;
        mClock = clock;
        mRandom = random;
        mListener = listener;
    }

    /** Creates the controller of a target that runs {@code capacity} requests concurrently. */
    public static <T> AdmissionController<T> of(
            String target,
            int capacity,
            Clock clock,
            RandomGenerator random,
            Listener<T> listener) {
        return new AdmissionController<>(target, capacity, clock, random, listener);
    }

    // ---------------------------------------------------------------- pool state

    /** Sets the other members of a pool; digests of targets not listed are discarded. */
    public void setMembers(String pool, Set<String> members) {
        mDigestLoads.computeIfAbsent(pool, k -> new PoolLoad()).retain(members);
    }

    /** Merges a load digest of another target. */
    public void onDigest(LoadDigest digest) {
        if (digest.target().equals(mTarget)) {
            return;
        }
        mDigestLoads.values().forEach(p -> p.merge(digest));
    }

    /**
     * Records a router's estimate of the total load of a pool's other targets.
     *
     * @param afterRefusals whether all of them just refused the request, so that the estimate is
     *     current
     */
    public void onReportedLoad(String pool, int load, boolean afterRefusals) {
        long now = mClock.nowMillis();
        ReportedLoad old = mReportedLoads.get(pool);
        boolean smooth = old != null && !afterRefusals && now - old.atMillis() <= REPORT_TTL_MILLIS;
        double next = smooth ? old.load() + REPORT_SMOOTHING_FACTOR * (load - old.load()) : load;
        mReportedLoads.put(pool, new ReportedLoad(next, now));
    }

    /** Returns the load digest of this target. */
    public LoadDigest digest() {
        mSequence = Math.max(mSequence, mClock.nowMillis());
        return new LoadDigest(mTarget, mSequence, load(), mCapacity, mLeaving, mClock.nowMillis());
    }

    /** Returns the number of running and queued requests. */
    public int load() {
        return mRunning + mQueue.size();
    }

    /** Returns the number of running requests. */
    public int running() {
        return mRunning;
    }

    /** Returns whether the target is draining and refuses new requests. */
    public boolean isLeaving() {
        return mLeaving;
    }

    /** Starts or stops draining; a draining target refuses new requests. */
    public void setLeaving(boolean leaving) {
        if (leaving != mLeaving) {
            mLeaving = leaving;
            onLoadChanged();
        }
    }

    private void onLoadChanged() {
        mSequence = Math.max(mSequence + 1, mClock.nowMillis());
        mMaxLoad = Math.max(mMaxLoad, load());
    }

    // ---------------------------------------------------------------- admission

    /**
     * Admits or queues a request, or returns why it is refused.
     *
     * @param item the request
     * @param pool the pool it was routed to
     * @param poolCapacity capacity of the whole pool
     * @param memberCount targets of the pool
     */
    public Optional<AttemptFailure> admit(
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
        Optional<RefusalReason> reason =
                Admission.refusalReason(facts, ahead, deadlineMillis - now);
        if (reason.isPresent()) {
            return Optional.of(AttemptFailure.notRun(reason.get(), retryAfter(facts, ahead)));
        }
        if (mRunning < mCapacity) {
            start(item);
            return Optional.empty();
        }
        if (mQueueLimit == 0) {
            return Optional.of(
                    AttemptFailure.notRun(RefusalReason.QUEUE_FULL, retryAfter(facts, ahead)));
        }
        Optional<FairQueue.Waiting<T>> displaced =
                mQueue.add(item, team.name(), team.weight(), priority, deadlineMillis);
        onLoadChanged();
        if (displaced.isEmpty()) {
            return Optional.empty();
        }
        boolean isSelf = displaced.get().item() == item;
        RefusalReason why = isSelf ? RefusalReason.QUEUE_FULL : RefusalReason.FAIR_SHARE;
        AttemptFailure refused = AttemptFailure.notRun(why, retryAfter(facts, mQueue.size()));
        if (isSelf) {
            return Optional.of(refused);
        }
        mListener.onRefused(displaced.get().item(), refused);
        return Optional.empty();
    }

    private Admission.Snapshot facts(PoolSpec pool, long poolCapacity, int memberCount) {
        ReportedLoad reported = mReportedLoads.get(pool.name());
        boolean isFresh =
                reported != null && mClock.nowMillis() - reported.atMillis() <= REPORT_TTL_MILLIS;
        long others =
                isFresh
                        ? Math.round(reported.load())
                        : estimateFromDigests(pool.name(), memberCount);
        return new Admission.Snapshot(
                mLeaving,
                mRunning,
                mQueue.size(),
                mCapacity,
                others,
                Math.max(poolCapacity, mCapacity),
                pool.maxLoadMultiple(),
                mMeanServiceMillis);
    }

    /** Sums up the loads from digests; targets without a digest count with the mean load. */
    private long estimateFromDigests(String pool, int memberCount) {
        PoolLoad known = mDigestLoads.computeIfAbsent(pool, k -> new PoolLoad());
        int unknown = Math.max(0, memberCount - 1 - known.size());
        double meanLoad = known.size() == 0 ? load() : (double) known.totalLoad() / known.size();
        return known.totalLoad() + Math.round(unknown * meanLoad);
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
        onLoadChanged();
        mListener.onAdmitted(item);
    }

    /** Counts a request that already runs at the target, bypassing admission. */
    public void addRunning() {
        mRunning++;
        onLoadChanged();
    }

    /** Releases the slot of a started request; {@code ranMillis} is 0 if it never ran. */
    public void release(long ranMillis) {
        mRunning--;
        if (ranMillis > 0) {
            mMeanServiceMillis += SERVICE_SMOOTHING_FACTOR * (ranMillis - mMeanServiceMillis);
        }
        onLoadChanged();
        expire();
        if (mRunning < mCapacity) {
            mQueue.poll().ifPresent(w -> start(w.item()));
        }
    }

    /** Refuses queued requests whose deadline has passed. */
    public void expire() {
        List<FairQueue.Waiting<T>> expired = mQueue.expire(mClock.nowMillis());
        if (expired.isEmpty()) {
            return;
        }
        onLoadChanged();
        long after = RetryAfter.withJitter((long) mMeanServiceMillis, mRandom);
        AttemptFailure why = AttemptFailure.notRun(RefusalReason.DEADLINE, after);
        expired.forEach(w -> mListener.onRefused(w.item(), why));
    }

    /** Removes a queued request; returns false if it was not queued. */
    public boolean removeQueued(T item) {
        boolean removed = mQueue.remove(item);
        if (removed) {
            onLoadChanged();
        }
        return removed;
    }

    /** Returns the state for a state dump. */
    public Map<String, Object> dump() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("target", mTarget);
        m.put("capacity", mCapacity);
        m.put("running", mRunning);
        m.put("queued", mQueue.size());
        m.put("max_load", mMaxLoad);
        m.put("leaving", mLeaving);
        m.put("service_ms", mMeanServiceMillis);
        Map<String, Object> pools = new LinkedHashMap<>();
        mDigestLoads.forEach(
                (n, p) -> pools.put(n, Map.of("heard", p.size(), "load", p.totalLoad())));
        m.put("pools", pools);
        return m;
    }
}
