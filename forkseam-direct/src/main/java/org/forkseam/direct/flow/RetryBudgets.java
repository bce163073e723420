package org.forkseam.direct.flow;

import org.forkseam.core.outcome.SlidingWindowRetryBudget;
import org.forkseam.core.util.Clock;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * This router's retry budgets, by pool. Routers divide the limits of the fleet without messages, so
 * that the sum stays within them while routers restart, join or leave. Used on the event loop.
 */
final class RetryBudgets {
    /** Safety factor on the share, since requests are counted with a delay. */
    private static final double USED_SHARE = 0.9;

    /** Windows whose requests count for the retries of one window. */
    private static final int COUNTED_WINDOWS = 2;

    /**
     * Share of the allowance in use. The other half is for predecessors of restarted routers, and
     * for routers that the others do not know yet.
     */
    private static final double USED_ALLOWANCE_SHARE = 0.5;

    /** Minimum number of routers assumed, as some may be unknown. */
    private static final int MIN_ROUTER_COUNT = 4;

    private final Clock mClock;
    private final long mStartedMillis;
    private final Supplier<OptionalInt> mRouterCount;
    private final Map<String, SlidingWindowRetryBudget> mByPool = new HashMap<>();
    private Bounds mBounds;

    /**
     * Retry limits for all routers together.
     *
     * @param share retries as a share of the requests in a window
     * @param allowance retries allowed in addition
     * @param windowMillis length of the window
     */
    record Bounds(double share, double allowance, long windowMillis) {}

    /**
     * Creates the budgets of a router that starts now.
     *
     * @param routerCount supplies the number of routers that share the allowance; empty while the
     *     other routers are unknown
     */
    RetryBudgets(Bounds bounds, Clock clock, Supplier<OptionalInt> routerCount) {
        mBounds = bounds;
        mClock = clock;
        mStartedMillis = clock.nowMillis();
        mRouterCount = routerCount;
    }

    /** Replaces the limits. Counts are kept unless the window length changes. */
    void setBounds(Bounds bounds) {
        if (bounds.windowMillis() != mBounds.windowMillis()) {
            mByPool.clear();
        }
        mBounds = bounds;
    }

    SlidingWindowRetryBudget pool(String name) {
        return mByPool.computeIfAbsent(
                name,
                n ->
                        SlidingWindowRetryBudget.of(
                                () -> mBounds.share() * USED_SHARE / COUNTED_WINDOWS,
                                this::allowance,
                                mBounds.windowMillis()));
    }

    /** Returns this router's part of the allowance, which grows from zero over the first window. */
    private double allowance() {
        OptionalInt routers = routerCount();
        if (routers.isEmpty()) {
            return 0;
        }
        double age = mClock.nowMillis() - mStartedMillis;
        double grown = Math.min(1, age / mBounds.windowMillis());
        return mBounds.allowance() * USED_ALLOWANCE_SHARE * grown / routers.getAsInt();
    }

    /** Returns the number of routers among which the allowance is divided, if it is known. */
    OptionalInt routerCount() {
        OptionalInt known = mRouterCount.get();
        return known.isPresent()
                ? OptionalInt.of(Math.max(MIN_ROUTER_COUNT, known.getAsInt()))
                : known;
    }

    /** Returns the usage of each pool's budget, for the state dump. */
    Map<String, SlidingWindowRetryBudget.Usage> usage(long nowMillis) {
        Map<String, SlidingWindowRetryBudget.Usage> usage = new TreeMap<>();
        mByPool.forEach((pool, budget) -> usage.put(pool, budget.usage(nowMillis)));
        return usage;
    }
}
