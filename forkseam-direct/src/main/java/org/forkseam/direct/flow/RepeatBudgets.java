package org.forkseam.direct.flow;

import org.forkseam.core.outcome.WindowBudget;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** Keeps one budget of repeats for each pool. Used on the event loop. */
final class RepeatBudgets {
    /** Part of the share that is used, so that a late count of requests does not matter. */
    private static final double USED_SHARE = 0.9;

    private final Bounds mBounds;
    private final IntSupplier mRouters;
    private final Map<String, WindowBudget> mByPool = new HashMap<>();

    /**
     * Holds what all routers together may repeat.
     *
     * @param share of the requests of a window
     * @param allowance repeats besides
     * @param windowMillis length of the window
     */
    record Bounds(double share, double allowance, long windowMillis) {}

    /**
     * Creates the budgets.
     *
     * @param routers the number of routers that share the allowance
     */
    RepeatBudgets(Bounds bounds, IntSupplier routers) {
        mBounds = bounds;
        mRouters = routers;
    }

    WindowBudget pool(String name) {
        return mByPool.computeIfAbsent(
                name,
                n ->
                        WindowBudget.of(
                                mBounds.share() * USED_SHARE,
                                () -> mBounds.allowance() / mRouters.getAsInt(),
                                mBounds.windowMillis()));
    }
}
