package org.forkseam.core.util;

/** Tells the time in milliseconds; tests bring one that stands still until it is moved. */
@FunctionalInterface
public interface Clock {
    /** Returns milliseconds since the epoch, or since any fixed moment in tests. */
    long nowMillis();

    /** Returns the machine's clock. */
    static Clock system() {
        return System::currentTimeMillis;
    }

    /** Returns a clock that keeps running whatever happens to the time of day. */
    static Clock steady() {
        return () -> System.nanoTime() / 1_000_000L;
    }
}
