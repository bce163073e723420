package org.forkseam.core.admit;

import org.forkseam.core.member.Target;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Decides which requests of a pool begin while its targets cannot serve all.
 *
 * <p>Infers shortage from this router's own results only: answers later than their objective and
 * refusals of full targets. All routers observe the same pool, so that their shares agree without
 * messages. A request that is not begun was not run anywhere. Not thread-safe; the time is passed
 * in.
 *
 * @since 0.8
 */
public final class PoolAdmission {
    /** Limit of held requests; each waits for a fraction of its objective only. */
    private static final int MAX_HELD = 64;

    /** Share of the latency objective within which a held request expects a target with room. */
    private static final double MAX_HOLD_SHARE = 0.25;

    private final RandomGenerator mRandom;
    private final ShareController mController;
    private final ShareAllocation mAllocation;
    private final HoldQueue mHeld = new HoldQueue(MAX_HELD);
    private final UsualLatency mUsualLatency = new UsualLatency();
    private final Shortage mShortage = new Shortage();
    private final RecentLatencies mLatencies = new RecentLatencies();

    private PoolAdmission(RandomGenerator random, ShareController controller, long now) {
        mRandom = random;
        mController = controller;
        mAllocation = new ShareAllocation(now);
    }

    /** Creates the admission of a pool; all requests begin until a shortage shows. */
    public static PoolAdmission of(RandomGenerator random, long now) {
        return of(random, new PressureShare(now), now);
    }

    static PoolAdmission of(RandomGenerator random, ShareController controller, long now) {
        return new PoolAdmission(random, controller, now);
    }

    // ---------------------------------------------------------------- decisions

    /**
     * Decides about a request that arrives.
     *
     * @param candidates the targets that may take the request
     */
    public Decision decide(AdmissionRequest r, List<Target> candidates, long now) {
        mController.onArrived(now);
        double mean = share(now);
        mAllocation.onArrived(r, mean, now);
        if (!isInShare(r, mean, now)) {
            return reject(Decision.Cause.SHARE, now);
        }
        mAllocation.onBegun(r, now);
        return decideAdmitted(r, candidates, now);
    }

    private boolean isInShare(AdmissionRequest r, double mean, long now) {
        return mean >= 1
                || mRandom.nextDouble() < mAllocation.share(r.priority(), mean, now)
                || mAllocation.isBelowMinimum(r, mean, now);
    }

    /**
     * Decides about a request that is held, or that a target refused: it begins if a target has
     * room, is held if one is expected soon, and is rejected otherwise.
     *
     * @param candidates the targets that may take the request
     */
    public Decision decideAdmitted(AdmissionRequest r, List<Target> candidates, long now) {
        if (candidates.isEmpty() || candidates.stream().anyMatch(t -> !t.isFull(now))) {
            mHeld.remove(r);
            return new Decision.Begin();
        }
        long roomAt = candidates.stream().mapToLong(Target::fullUntil).min().orElse(now);
        double latest =
                Math.min(
                        r.receivedMillis() + MAX_HOLD_SHARE * r.latencyMillis(),
                        r.objectiveMillis());
        if (roomAt > latest || !mHeld.add(r)) {
            mHeld.remove(r);
            return reject(Decision.Cause.FULL, now);
        }
        return new Decision.Hold(roomAt);
    }

    private Decision reject(Decision.Cause cause, long now) {
        mShortage.update(mController.share(now), true, now);
        return new Decision.Reject(cause, mShortage.remainingMillis(now));
    }

    /** Removes a request that ended while it was held. */
    public void remove(AdmissionRequest r) {
        mHeld.remove(r);
    }

    /** Returns the held requests in the order in which they begin. */
    public List<AdmissionRequest> held() {
        return mHeld.inOrder();
    }

    // ---------------------------------------------------------------- feedback

    /** Records the first byte of an answer. */
    public void onAnswered(int priority, long firstByteMillis, long latencyMillis, long now) {
        double fraction = (double) firstByteMillis / Math.max(1, latencyMillis);
        mUsualLatency.onAnswered(priority, fraction, now);
        mLatencies.add(fraction);
        mController.onResult(pressure(priority, fraction), true, now);
    }

    /**
     * Returns the pressure that an answer shows. It rises from the usual latency to the objective,
     * so that the share is changed before answers are late. It is 0 while most recent answers take
     * no longer than usual: then a few targets are slow, and others have room.
     */
    private double pressure(int priority, double fraction) {
        double usual = mUsualLatency.fraction(priority);
        if (!mLatencies.areOftenAbove(usual)) {
            return 0;
        }
        return Math.max(0, Math.min(1, (fraction - usual) / (1 - usual)));
    }

    /** Records that a target refused a request because it was full. */
    public void onFull(long now) {
        mController.onResult(1, false, now);
    }

    /** Records that a request reached its deadline without an answer. */
    public void onExpired(int priority, long now) {
        mController.onResult(1, false, now);
    }

    // ---------------------------------------------------------------- state

    /** Returns the share of requests to begin. */
    public double share(long now) {
        double share = mController.share(now);
        mShortage.update(share, false, now);
        return share;
    }

    /** Returns whether the pool is short of capacity. */
    public boolean isShort(long now) {
        return mShortage.isActive(now);
    }
}
