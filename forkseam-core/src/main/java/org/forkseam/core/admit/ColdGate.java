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
 * Keeps cold targets from getting more requests than they bear: one that gets well more falls over,
 * and all that it works on is lost. This router sends its share of the limit within any second, and
 * nothing while it does not know how many routers share the limit. Used on one thread.
 *
 * @since 0.5
 */
public final class ColdGate {
    /** The limit holds for any span of this length. Unit: milliseconds. */
    private static final long SPAN_MILLIS = 1_000;

    /** Targets remembered; those that were cold last. More than are cold at once in 830. */
    private static final int MAX_TARGETS = 1_024;

    private final Routers mRouters;
    private final Map<String, Deque<Long>> mSent = BoundedMap.byAccess(MAX_TARGETS);
    private double mOvershoot;
    private long mPassedOver;

    /** Tells a router's place among all routers. */
    public interface Routers {
        /** Returns this router's share for a target, or empty while the routers are not known. */
        Optional<ColdShare> shareFor(long targetHash);
    }

    private ColdGate(Routers routers, double overshoot) {
        mRouters = routers;
        mOvershoot = overshoot;
    }

    /**
     * Creates a gate that has let nothing through.
     *
     * @param overshoot by how many times what a cold target bears it may be exceeded
     */
    public static ColdGate of(Routers routers, double overshoot) {
        return new ColdGate(routers, overshoot);
    }

    /** Sets by how many times what a cold target bears it may be exceeded. */
    public void setOvershoot(double overshoot) {
        mOvershoot = overshoot;
    }

    /** Returns the targets of a pool that may get one more request now. */
    public List<Target> admitted(List<Target> pool, ColdStart cold, long nowMillis) {
        if (!cold.limits() || pool.stream().noneMatch(t -> t.isCold(cold.millis(), nowMillis))) {
            return pool;
        }
        List<Target> out = new ArrayList<>(pool.size());
        for (Target t : pool) {
            if (!t.isCold(cold.millis(), nowMillis) || hasRoom(t, cold, nowMillis)) {
                out.add(t);
            }
        }
        mPassedOver += pool.size() - out.size();
        return out;
    }

    private boolean hasRoom(Target t, ColdStart cold, long nowMillis) {
        int limit = (int) (cold.perSecond() * mOvershoot);
        int share = mRouters.shareFor(t.hash()).map(s -> s.of(limit)).orElse(0);
        return sentWithin(t, nowMillis).size() < share;
    }

    private Deque<Long> sentWithin(Target t, long nowMillis) {
        Deque<Long> sent = mSent.computeIfAbsent(t.entry().id(), id -> new ArrayDeque<>());
        while (!sent.isEmpty() && nowMillis - sent.peekFirst() >= SPAN_MILLIS) {
            sent.removeFirst();
        }
        return sent;
    }

    /** Notes a request that is sent to a target. */
    public void onSent(Target t, ColdStart cold, long nowMillis) {
        if (cold.limits() && t.isCold(cold.millis(), nowMillis)) {
            sentWithin(t, nowMillis).addLast(nowMillis);
        } else if (!mSent.isEmpty()) {
            mSent.remove(t.entry().id());
        }
    }

    /** Returns how often a cold target was passed over since the start. */
    public long passedOver() {
        return mPassedOver;
    }
}
