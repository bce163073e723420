package org.forkseam.direct.flow;

import org.forkseam.core.outcome.WindowBudget;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** Keeps one budget of repeats for each pool. Used on the event loop. */
final class RetryBudgets {
    /** Part of the share that is used, so that a late count of requests does not matter. */
    private static final double USED_SHARE = 0.9;

    private Bounds mBounds;
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
    RetryBudgets(Bounds bounds, IntSupplier routers) {
        mBounds = bounds;
        mRouters = routers;
    }

    /** Puts other bounds in force. What was counted stays, unless windows have another length. */
    void setBounds(Bounds bounds) {
        if (bounds.windowMillis() != mBounds.windowMillis()) {
            mByPool.clear();
        }
        mBounds = bounds;
    }

    WindowBudget pool(String name) {
        return mByPool.computeIfAbsent(
                name,
                n ->
                        WindowBudget.of(
                                () -> mBounds.share() * USED_SHARE,
                                () -> mBounds.allowance() / mRouters.getAsInt(),
                                mBounds.windowMillis()));
    }
}
