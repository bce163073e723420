package org.forkseam.direct.io;

import io.netty.channel.EventLoop;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks on an event loop after the input that arrived before them has been read.
 *
 * <p>After a freeze of the process or a long task, an event loop may run timers that have become
 * due before it reads what arrived meanwhile. A timer that concludes something from missing input
 * waits for this barrier first. The wait is one iteration of the loop, also if the loop is stalled
 * repeatedly. One iteration reads from at most 1,024 channels. Used on the event loop.
 *
 * @since 0.8
 */
public final class ReadBarrier {
    private final EventLoop mLoop;

    private ReadBarrier(EventLoop loop) {
        mLoop = loop;
    }

    /** Creates a barrier of an event loop. */
    public static ReadBarrier of(EventLoop loop) {
        return new ReadBarrier(loop);
    }

    /** Runs a task once the input that has arrived by now has been read. */
    public void afterReads(Runnable task) {
        // Scheduled tasks are polled once per iteration, after its reads. Scheduled by a task since
        // the reads of the current iteration may not have ended yet.
        mLoop.execute(() -> mLoop.schedule(task, 0, TimeUnit.MILLISECONDS));
    }

    /**
     * Schedules a timeout: runs a task after a delay and after the input that arrived within it.
     *
     * @return cancels the task only before the delay has passed; the task must check afterwards
     *     whether it is still needed
     */
    public Future<?> schedule(long millis, Runnable task) {
        return mLoop.schedule(() -> afterReads(task), millis, TimeUnit.MILLISECONDS);
    }
}
