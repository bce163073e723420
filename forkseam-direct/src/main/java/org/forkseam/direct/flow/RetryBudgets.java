package org.forkseam.direct.flow;

import org.forkseam.core.outcome.SlidingWindowRetryBudget;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntSupplier;

/** Retry budgets by pool. Used on the event loop. */
final class RetryBudgets {
    /** Safety factor on the share, since requests are counted with a delay. */
    private static final double USED_SHARE = 0.9;

    private Bounds mBounds;
    private final IntSupplier mRouterCount;
    private final Map<String, SlidingWindowRetryBudget> mByPool = new HashMap<>();

    /**
     * Retry limits for all routers together.
     *
     * @param share retries as a share of the requests in a window
     * @param allowance retries allowed in addition
     * @param windowMillis length of the window
     */
    record Bounds(double share, double allowance, long windowMillis) {}

    /**
     * Creates the budgets.
     *
     * @param routerCount supplies the number of routers that share the allowance
     */
    RetryBudgets(Bounds bounds, IntSupplier routerCount) {
        mBounds = bounds;
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
                                () -> mBounds.share() * USED_SHARE,
                                () -> mBounds.allowance() / mRouterCount.getAsInt(),
                                mBounds.windowMillis()));
    }

    /** Returns the number of routers among which the allowance is divided. */
    int routerCount() {
        return mRouterCount.getAsInt();
    }

    /** Returns the usage of each pool's budget, for the state dump. */
    Map<String, SlidingWindowRetryBudget.Usage> usage(long nowMillis) {
        Map<String, SlidingWindowRetryBudget.Usage> usage = new TreeMap<>();
        mByPool.forEach((pool, budget) -> usage.put(pool, budget.usage(nowMillis)));
        return usage;
    }
}
