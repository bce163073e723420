package org.forkseam.bench;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeoutException;

/** Waits for conditions, rather than for times to pass. */
public final class Waiting {
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final long STEP_MILLIS = 10;

    private Waiting() {}

    /** Returns once the condition holds; fails after a time that no working system needs. */
    public static void until(String what, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + LIMIT.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                throw new TimeoutException("never came true: " + what);
            }
            Thread.sleep(STEP_MILLIS);
        }
    }
}
