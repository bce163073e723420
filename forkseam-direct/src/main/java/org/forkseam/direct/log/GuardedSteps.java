package org.forkseam.direct.log;

import org.forkseam.core.util.Clock;

import java.util.HashMap;
import java.util.Map;

/**
 * Runs the steps of periodic work such that an exception in one of them neither skips the others
 * nor ends the period. An event loop drops a periodic task that throws, and keeps the exception of
 * a delayed one in its future; neither is logged. Used on the event loop.
 *
 * @since 0.8
 */
public final class GuardedSteps {
    /** Minimum time between two lines about one step, as a step may fail at each tick. */
    private static final long LINE_INTERVAL_MILLIS = 1_000;

    private final Clock mClock;
    private final Map<String, Failures> mFailures = new HashMap<>();
    private long mFailureCount;

    /** Failures of one step that have not been logged, and the time of the last line. */
    private static final class Failures {
        private long mUnlogged;
        private long mLoggedAt;
    }

    private GuardedSteps(Clock clock) {
        mClock = clock;
    }

    /** Creates an instance without failures. */
    public static GuardedSteps of(Clock clock) {
        return new GuardedSteps(clock);
    }

    /**
     * Runs a step; an exception is logged and ends only this step.
     *
     * @param name name of the step in the log
     */
    public void run(String name, Runnable step) {
        try {
            step.run();
        } catch (Exception | Error e) { // also errors: the loop would drop them without a line
            onFailure(name, e);
        }
    }

    /** Returns a task that runs a step in this way. */
    public Runnable guard(String name, Runnable step) {
        return () -> run(name, step);
    }

    /** Returns the number of failures since the start. */
    public long failureCount() {
        return mFailureCount;
    }

    private void onFailure(String name, Throwable cause) {
        mFailureCount++;
        long now = mClock.nowMillis();
        Failures f = mFailures.get(name);
        if (f == null) {
            f = new Failures();
            mFailures.put(name, f);
        } else if (now - f.mLoggedAt < LINE_INTERVAL_MILLIS) {
            f.mUnlogged++;
            return;
        }
        Event.error("step_failed", cause).with("step", name).with("not_logged", f.mUnlogged).log();
        f.mUnlogged = 0;
        f.mLoggedAt = now;
    }
}
