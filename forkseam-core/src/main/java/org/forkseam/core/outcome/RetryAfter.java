package org.forkseam.core.outcome;

import java.util.random.RandomGenerator;

/** Spreads the moments at which refused callers come back, so that they do not come together. */
public final class RetryAfter {
    private static final long MIN_MILLIS = 100;
    private static final long MAX_MILLIS = 30_000;

    private RetryAfter() {}

    /** Returns a moment between half and one and a half times the wait, within fixed bounds. */
    public static long spread(long waitMillis, RandomGenerator random) {
        long w = Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, waitMillis));
        return w / 2 + random.nextLong(w + 1);
    }

    /** Returns a moment within a tenth after a wait before which coming back is in vain. */
    public static long notBefore(long waitMillis, RandomGenerator random) {
        long w = Math.max(MIN_MILLIS, waitMillis);
        return w + random.nextLong(w / 10 + 1);
    }
}
