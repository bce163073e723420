package org.forkseam.core.admit;

import org.forkseam.core.member.Target;
import org.forkseam.core.traffic.ColdStart;
import org.forkseam.core.util.BoundedMap;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Rate limiter for cold targets, which fail under more than a few requests and then lose all
 * requests in flight. Within any window this router sends at most its share of the target's limit,
 * and nothing while the set of routers is unknown or in the first window after its start. Not
 * thread-safe.
 *
 * @since 0.5
 */
public final class ColdStartLimiter {
    /** Length of the sliding window. */
    private static final long WINDOW_MILLIS = 1_000;

    /** Maximum number of targets tracked; the least recently used are dropped. */
    private static final int MAX_TARGETS = 1_024;

    private final RouterShares mRouterShares;
    private final Map<String, Deque<Long>> mSent = BoundedMap.byAccess(MAX_TARGETS);
    private final long mStartedMillis;
    private double mOvershoot;
    private long mSkipped;

    /** Provides this router's share of a target's limit. */
    public interface RouterShares {
        /** Returns this router's share for a target, or empty if the set of routers is unknown. */
        Optional<ColdStartShare> shareFor(long targetHash);
    }

    private ColdStartLimiter(RouterShares routerShares, double overshoot, long startedMillis) {
        mRouterShares = routerShares;
        mOvershoot = overshoot;
        mStartedMillis = startedMillis;
    }

    /**
     * Creates a limiter.
     *
     * @param overshoot factor by which the declared limit of a cold target may be exceeded
     * @param startedMillis when this router started; its predecessor on the host may have sent its
     *     share just before
     */
    public static ColdStartLimiter of(
            RouterShares routerShares, double overshoot, long startedMillis) {
        return new ColdStartLimiter(routerShares, overshoot, startedMillis);
    }

    /** Sets the factor by which the declared limit of a cold target may be exceeded. */
    public void setOvershoot(double overshoot) {
        mOvershoot = overshoot;
    }

    /** Returns the targets of a pool that may receive another request now. */
    public List<Target> admissible(List<Target> pool, ColdStart coldStart, long nowMillis) {
        if (!coldStart.hasLimit()
                || pool.stream().noneMatch(t -> t.isCold(coldStart.millis(), nowMillis))) {
            return pool;
        }
        List<Target> out = new ArrayList<>(pool.size());
        for (Target t : pool) {
            if (!t.isCold(coldStart.millis(), nowMillis) || hasCapacity(t, coldStart, nowMillis)) {
                out.add(t);
            }
        }
        mSkipped += pool.size() - out.size();
        return out;
    }

    private boolean hasCapacity(Target t, ColdStart coldStart, long nowMillis) {
        if (nowMillis - mStartedMillis < WINDOW_MILLIS) {
            return false;
        }
        int limit = (int) (coldStart.perSecond() * mOvershoot);
        int share = mRouterShares.shareFor(t.hash()).map(s -> s.requestsPerSecond(limit)).orElse(0);
        return sentInWindow(t, nowMillis).size() < share;
    }

    private Deque<Long> sentInWindow(Target t, long nowMillis) {
        Deque<Long> sent = mSent.computeIfAbsent(t.entry().id(), id -> new ArrayDeque<>());
        while (!sent.isEmpty() && nowMillis - sent.peekFirst() >= WINDOW_MILLIS) {
            sent.removeFirst();
        }
        return sent;
    }

    /** Records a request sent to a target. */
    public void onRequestSent(Target t, ColdStart coldStart, long nowMillis) {
        if (coldStart.hasLimit() && t.isCold(coldStart.millis(), nowMillis)) {
            sentInWindow(t, nowMillis).addLast(nowMillis);
        } else if (!mSent.isEmpty()) {
            mSent.remove(t.entry().id());
        }
    }

    /** Returns how often a cold target has been skipped. */
    public long skipped() {
        return mSkipped;
    }
}
