package org.forkseam.daemon.share;

import io.activej.eventloop.Eventloop;

import java.util.function.LongSupplier;

/**
 * Runs a task again and again on the event loop, each time after a delay that is asked for anew.
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

    /** Creates a ticker that has yet to be started. */
    public static Ticker of(Eventloop loop, LongSupplier delayMillis, Runnable task) {
        return new Ticker(loop, delayMillis, task);
    }

    /** Starts ticking, the first time after one delay. */
    public void start() {
        mRunning = true;
        mLoop.execute(this::next);
    }

    /** Stops ticking. */
    public void stop() {
        mRunning = false;
    }

    private void next() {
        mLoop.delayBackground(mDelayMillis.getAsLong(), this::tick);
    }

    private void tick() {
        if (!mRunning) {
            return;
        }
        mTask.run();
        next();
    }
}
