package org.forkseam.direct.flow;

import org.forkseam.core.admit.AdmissionRequest;
import org.forkseam.core.admit.Decision;
import org.forkseam.core.admit.PoolAdmission;
import org.forkseam.core.member.Target;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.io.ReadBarrier;
import org.forkseam.direct.log.Event;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Admission to contended pools: decides about requests before a target is selected, holds requests
 * while all targets are full, and collects the results. Requests of other pools have no ticket and
 * do not pass through here. Used on the event loop.
 */
final class PoolAdmissions {
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final ReadBarrier mReadBarrier;
    private final RequestMeters mMeters;
    private final Map<String, PoolState> mPools = new TreeMap<>();

    /** A request that asks for admission. */
    interface Applicant {
        /** Returns the targets that may take the request, full or not. */
        List<Target> candidates();

        /** Begins the request. */
        void begin();

        /** Refuses the request. */
        void reject(Decision.Reject rejection);
    }

    /** Admission of one request to one pool. */
    static final class Ticket {
        private final String mPool;
        private final AdmissionRequest mRequest;
        private final Applicant mApplicant;
        private boolean mAdmitted;

        private Ticket(String pool, AdmissionRequest request, Applicant applicant) {
            mPool = pool;
            mRequest = request;
            mApplicant = applicant;
        }
    }

    /** State of one pool. */
    private static final class PoolState {
        private final PoolAdmission mAdmission;
        private final Map<AdmissionRequest, Ticket> mHeld = new IdentityHashMap<>();
        private double mShare = 1;
        private boolean mShort;
        private long mShortSince;
        private long mRejected;
        private long mRejectedBefore;
        private long mWakeAt;

        PoolState(PoolAdmission admission) {
            mAdmission = admission;
        }
    }

    PoolAdmissions(
            Clock clock, RandomGenerator random, ReadBarrier readBarrier, RequestMeters meters) {
        mClock = clock;
        mRandom = random;
        mReadBarrier = readBarrier;
        mMeters = meters;
    }

    /** Creates the ticket of a request that asks for admission for the first time. */
    Ticket ticket(Admission a, long receivedMillis, Applicant applicant) {
        AdmissionRequest r =
                new AdmissionRequest(
                        a.priority(),
                        a.route().latencyMillis(),
                        receivedMillis,
                        a.deadlineMillis(),
                        a.team().map(t -> t.name()).orElse(""));
        return new Ticket(a.pool(), r, applicant);
    }

    private PoolState state(String pool) {
        return mPools.computeIfAbsent(pool, this::createState);
    }

    private PoolState createState(String pool) {
        PoolState p = new PoolState(PoolAdmission.of(mRandom, mClock.nowMillis()));
        mMeters.addAdmissionShare(pool, () -> p.mShare);
        return p;
    }

    // ---------------------------------------------------------------- decisions

    /** Begins, holds or rejects a request. Held requests that can begin go first. */
    void decide(Ticket t) {
        PoolState p = state(t.mPool);
        beginHeld(p);
        long now = mClock.nowMillis();
        List<Target> candidates = t.mApplicant.candidates();
        Decision d =
                t.mAdmitted
                        ? p.mAdmission.decideAdmitted(t.mRequest, candidates, now)
                        : p.mAdmission.decide(t.mRequest, candidates, now);
        count(d);
        apply(p, t, d, now);
        update(t.mPool, p, now);
    }

    private void count(Decision d) {
        String suffix =
                d instanceof Decision.Reject r
                        ? "_" + r.cause().name().toLowerCase(Locale.ROOT)
                        : "";
        mMeters.onAdmission(d.getClass().getSimpleName().toLowerCase(Locale.ROOT) + suffix);
    }

    private void apply(PoolState p, Ticket t, Decision d, long now) {
        if (d instanceof Decision.Hold h) {
            t.mAdmitted = true;
            p.mHeld.put(t.mRequest, t);
            wakeAt(p, h.untilMillis(), now);
            return;
        }
        p.mHeld.remove(t.mRequest);
        if (d instanceof Decision.Reject r) {
            p.mRejected++;
            t.mApplicant.reject(r);
            return;
        }
        t.mAdmitted = true;
        t.mApplicant.begin();
    }

    private void wakeAt(PoolState p, long at, long now) {
        if (p.mWakeAt > now && p.mWakeAt <= at) {
            return;
        }
        p.mWakeAt = at;
        mReadBarrier.schedule(Math.max(1, at - now), () -> beginHeld(p));
    }

    /** Decides again about the held requests, in the order in which they begin. */
    private void beginHeld(PoolState p) {
        if (p.mHeld.isEmpty()) {
            return;
        }
        long now = mClock.nowMillis();
        for (AdmissionRequest r : p.mAdmission.held()) {
            Ticket t = p.mHeld.get(r);
            if (t != null) {
                apply(p, t, p.mAdmission.decideAdmitted(r, t.mApplicant.candidates(), now), now);
            }
        }
    }

    /** Removes a request that has ended. */
    void remove(Ticket t) {
        PoolState p = state(t.mPool);
        p.mAdmission.remove(t.mRequest);
        p.mHeld.remove(t.mRequest);
    }

    // ---------------------------------------------------------------- feedback

    /**
     * Records the first byte of an answer.
     *
     * @param isLoopLate whether this router is late itself, so that the answer says nothing about
     *     the pool
     */
    void onAnswered(Ticket t, boolean isLoopLate) {
        if (isLoopLate) {
            return;
        }
        long now = mClock.nowMillis();
        AdmissionRequest r = t.mRequest;
        PoolState p = state(t.mPool);
        p.mAdmission.onAnswered(r.priority(), now - r.receivedMillis(), r.latencyMillis(), now);
        update(t.mPool, p, now);
    }

    /** Records that a target has ended an answer, so that it has room for another request. */
    void onSlotFreed(Ticket t, Target target) {
        target.onRoomObserved();
        beginHeld(state(t.mPool));
    }

    /** Records that a target refused the request because it was full. */
    void onFull(Ticket t) {
        state(t.mPool).mAdmission.onFull(mClock.nowMillis());
    }

    /** Records that the request reached its deadline without an answer. */
    void onExpired(Ticket t) {
        state(t.mPool).mAdmission.onExpired(t.mRequest.priority(), mClock.nowMillis());
    }

    // ---------------------------------------------------------------- state

    /** Returns whether a pool is short of capacity. */
    boolean isShort(String pool) {
        PoolState p = mPools.get(pool);
        return p != null && p.mAdmission.isShort(mClock.nowMillis());
    }

    /** Reports the ends of shortages. */
    void onTick() {
        long now = mClock.nowMillis();
        mPools.forEach((pool, p) -> update(pool, p, now));
    }

    private void update(String pool, PoolState p, long now) {
        p.mShare = p.mAdmission.share(now);
        boolean isShort = p.mAdmission.isShort(now);
        if (isShort == p.mShort) {
            return;
        }
        p.mShort = isShort;
        if (isShort) {
            p.mShortSince = now;
            Event.always("shortage_began").with("pool", pool).with("share", p.mShare).log();
            return;
        }
        Event.always("shortage_ended")
                .with("pool", pool)
                .with("took_ms", now - p.mShortSince)
                .with("rejected", p.mRejected - p.mRejectedBefore)
                .log();
        p.mRejectedBefore = p.mRejected;
    }

    /** Returns the state of each pool, for the state dump. */
    Map<String, Object> dump() {
        Map<String, Object> m = new TreeMap<>();
        mPools.forEach(
                (pool, p) ->
                        m.put(
                                pool,
                                Map.of(
                                        "share",
                                        p.mShare,
                                        "short",
                                        p.mShort,
                                        "held",
                                        p.mHeld.size(),
                                        "rejected",
                                        p.mRejected)));
        return m;
    }
}
