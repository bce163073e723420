package org.forkseam.core.outcome;

import java.util.random.RandomGenerator;

/** Adds jitter to retry delays so that refused callers do not return at the same time. */
public final class RetryAfter {
    private static final long MIN_MILLIS = 100;
    private static final long MAX_MILLIS = 30_000;

    private RetryAfter() {}

    /**
     * Returns a random delay between half and one and a half times the given one, which is first
     * limited to fixed bounds.
     */
    public static long withJitter(long waitMillis, RandomGenerator random) {
        long w = Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, waitMillis));
        return w / 2 + random.nextLong(w + 1);
    }

    /**
     * Returns a random delay between the given one and a tenth more. Use it if earlier retries are
     * known to fail.
     */
    public static long withJitterAfter(long waitMillis, RandomGenerator random) {
        long w = Math.max(MIN_MILLIS, waitMillis);
        return w + random.nextLong(w / 10 + 1);
    }
}
