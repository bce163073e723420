package org.forkseam.direct.log;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Builder for a structured log line. Lines beyond a rate limit are not built, which keeps a flood
 * of events cheap; {@link BoundedAsyncAppender} bounds the queued lines.
 *
 * @since 0.2
 */
public final class Event {
    /** Maximum number of lines per second. */
    private static final long LINES_PER_SECOND = 600;

    /** Bounds the memory of queued lines, whose fields may come from callers and targets. */
    static final int MAX_FIELD_LENGTH = 512;

    private static final Logger LOG = LoggerFactory.getLogger("forkseam");
    private static final AtomicLong SKIPPED = new AtomicLong();
    private static final Event DISABLED = new Event(null);

    private static long sSecond;
    private static long sLines;

    private LoggingEventBuilder mBuilder;

    private Event(LoggingEventBuilder builder) {
        mBuilder = builder;
    }

    /** Starts a line about a decision; skipped beyond the rate limit. */
    public static Event of(String name) {
        return tryAcquire() ? new Event(LOG.atInfo().setMessage(name)) : DISABLED;
    }

    /** Starts a line about a change of state, which is not rate-limited. */
    public static Event always(String name) {
        return new Event(LOG.atWarn().setMessage(name));
    }

    /**
     * Starts a line about an exception that only a fault in this program can cause, with its stack
     * trace; not rate-limited.
     */
    public static Event error(String name, Throwable cause) {
        return new Event(LOG.atError().setMessage(name).setCause(cause));
    }

    private static synchronized boolean tryAcquire() {
        long second = System.nanoTime() / 1_000_000_000L;
        if (second != sSecond) {
            sSecond = second;
            sLines = 0;
        }
        if (++sLines <= LINES_PER_SECOND) {
            return true;
        }
        SKIPPED.incrementAndGet();
        return false;
    }

    /** Returns the number of lines skipped since the start. */
    public static long skipped() {
        return SKIPPED.get();
    }

    /** Adds a field; the text of a long one is cut. */
    public Event with(String key, Object value) {
        if (mBuilder != null) {
            mBuilder = mBuilder.addKeyValue(key, value instanceof String s ? cut(s) : value);
        }
        return this;
    }

    private static String cut(String text) {
        return text.length() <= MAX_FIELD_LENGTH
                ? text
                : text.substring(0, MAX_FIELD_LENGTH) + "... (" + text.length() + ")";
    }

    /** Logs the line. */
    public void log() {
        if (mBuilder != null) {
            mBuilder.log();
        }
    }
}
