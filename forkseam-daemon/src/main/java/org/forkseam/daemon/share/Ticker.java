package org.forkseam.daemon.share;

import io.activej.eventloop.Eventloop;

import java.util.function.LongSupplier;

/**
 * Runs a task periodically on the event loop, with a delay computed before each run. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class Ticker {
    private final Eventloop mLoop;
    private final LongSupplier mDelayMillis;
    private final Runnable mTask;
    private boolean mRunning;

    private Ticker(Eventloop loop, LongSupplier delayMillis, Runnable task) {
        mLoop = loop;
        mDelayMillis = delayMillis;
        mTask = task;
    }

    /** Creates a stopped ticker. */
    public static Ticker of(Eventloop loop, LongSupplier delayMillis, Runnable task) {
        return new Ticker(loop, delayMillis, task);
    }

    /** Starts the ticker; the first run is after one delay. */
    public void start() {
        mRunning = true;
        mLoop.execute(this::scheduleNext);
    }

    /** Stops the ticker. */
    public void stop() {
        mRunning = false;
    }

    private void scheduleNext() {
        mLoop.delayBackground(mDelayMillis.getAsLong(), this::tick);
    }

    private void tick() {
        if (!mRunning) {
            return;
        }
        mTask.run();
        scheduleNext();
    }
}
