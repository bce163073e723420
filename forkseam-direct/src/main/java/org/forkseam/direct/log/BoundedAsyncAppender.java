package org.forkseam.direct.log;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.UnsynchronizedAppenderBase;

/**
 * Hands log lines to a writing thread over a bounded queue, and counts those that found it full.
 *
 * <p>The logging library's own asynchronous appender would do the same, but it joins texts in ways
 * that cost some 25 ms of processor at each start.
 *
 * @since 0.2
 */
public final class BoundedAsyncAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    private static final int QUEUE_LINES = 1024;

    /** Lines that wait at the end are written for so long at most. */
    private static final long DRAIN_MILLIS = 300;

    private static final AtomicLong DROPPED = new AtomicLong();

    private final BlockingQueue<ILoggingEvent> mQueue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Appender<ILoggingEvent> mOut;
    private final Thread mWriter = new Thread(this::write, "log-writer");

    private BoundedAsyncAppender(Appender<ILoggingEvent> out) {
        mOut = out;
    }

    /** Creates an appender that never blocks and writes to another. */
    public static BoundedAsyncAppender to(Appender<ILoggingEvent> out) {
        return new BoundedAsyncAppender(out);
    }

    @Override
    public void start() {
        super.start();
        mWriter.setDaemon(true);
        mWriter.start();
    }

    /** Ends the writing thread once it has written what waits. */
    @Override
    public void stop() {
        super.stop();
        mWriter.interrupt();
        try {
            mWriter.join(DRAIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    protected void append(ILoggingEvent event) {
        event.prepareForDeferredProcessing();
        if (!mQueue.offer(event)) {
            DROPPED.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (isStarted()) {
                mOut.doAppend(mQueue.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // stopped: what waits is written below
        }
        for (ILoggingEvent e = mQueue.poll(); e != null; e = mQueue.poll()) {
            mOut.doAppend(e);
        }
    }

    /** Returns the lines dropped since the start. */
    public static long dropped() {
        return DROPPED.get();
    }
}
