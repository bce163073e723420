package org.forkseam.direct.log;

import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;

/**
 * Hands log lines to a writing thread over a bounded queue, and counts those that found it full.
 *
 * @since 0.2
 */
public final class CountingAppender extends AsyncAppender {
    private static final int QUEUE_LINES = 1024;
    private static final AtomicLong DROPPED = new AtomicLong();

    /** Creates an appender that never blocks and keeps no share of the queue for some levels. */
    public CountingAppender() {
        setNeverBlock(true);
        setQueueSize(QUEUE_LINES);
        setDiscardingThreshold(0);
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            DROPPED.incrementAndGet();
            return;
        }
        super.append(event);
    }

    /** Returns the lines dropped since the start. */
    public static long dropped() {
        return DROPPED.get();
    }
}
