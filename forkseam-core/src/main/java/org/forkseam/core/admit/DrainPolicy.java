package org.forkseam.core.admit;

import java.util.OptionalLong;

/**
 * Decides which requests a router that is stopping still begins: those that can end before it does.
 * Others are refused at once, so that their callers can go to another router. Immutable.
 *
 * <p>A request that may run once only cannot be sent again after it was broken off. It begins if
 * its time limit ends before the router, or, while the balancer still sends new callers, if recent
 * requests of its route took at most half of the time that is left.
 *
 * @since 0.13
 */
public final class DrainPolicy {
    /** Ratio of the time left to the longest recent request that must not be repeated. */
    private static final int UNREPEATABLE_MARGIN = 2;

    private final long mBalancerKnowsAtMillis;
    private final long mEndsAtMillis;

    private DrainPolicy(long balancerKnowsAtMillis, long endsAtMillis) {
        mBalancerKnowsAtMillis = balancerKnowsAtMillis;
        mEndsAtMillis = endsAtMillis;
    }

    /**
     * Creates the policy of a router that is stopping.
     *
     * @param balancerKnowsAtMillis time from which the balancer sends no new callers
     * @param endsAtMillis time at which requests in flight are ended
     */
    public static DrainPolicy of(long balancerKnowsAtMillis, long endsAtMillis) {
        return new DrainPolicy(balancerKnowsAtMillis, endsAtMillis);
    }

    /**
     * Returns whether a request may begin.
     *
     * @param repeatable whether the request may run more than once
     * @param deadlineMillis the latest time for its final response
     * @param longestMillis the longest time that recent requests of its route took, if known
     */
    public boolean mayBegin(
            boolean repeatable, long deadlineMillis, OptionalLong longestMillis, long nowMillis) {
        if (deadlineMillis <= mEndsAtMillis) {
            return true;
        }
        long left = mEndsAtMillis - nowMillis;
        if (longestMillis.isEmpty()) {
            return false;
        }
        if (repeatable) {
            return longestMillis.getAsLong() <= left;
        }
        return nowMillis < mBalancerKnowsAtMillis
                && UNREPEATABLE_MARGIN * longestMillis.getAsLong() <= left;
    }
}
