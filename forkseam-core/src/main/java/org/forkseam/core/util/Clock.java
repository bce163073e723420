package org.forkseam.core.util;

/** Provides the time in milliseconds; tests use a manually advanced clock. */
@FunctionalInterface
public interface Clock {
    /** Returns the milliseconds since the epoch or another fixed origin. */
    long nowMillis();

    /** Returns the system's wall clock. */
    static Clock system() {
        return System::currentTimeMillis;
    }

    /** Returns a clock that is not affected by changes of the system time. */
    static Clock monotonic() {
        return () -> System.nanoTime() / 1_000_000L;
    }
}
