package org.forkseam.bench;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeoutException;

/** Polls for conditions. Stateless and thread-safe. */
public final class Await {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final long POLL_INTERVAL_MILLIS = 10;

    private Await() {}

    /** Waits until the condition holds; throws a {@link TimeoutException} after a timeout. */
    public static void until(String description, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                throw new TimeoutException("timed out waiting for condition: " + description);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
