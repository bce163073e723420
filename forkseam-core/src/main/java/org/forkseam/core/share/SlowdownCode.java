package org.forkseam.core.share;

import java.util.OptionalInt;

/**
 * Encodes a slowdown in percent in 6 bits on a logarithmic scale: ten steps double the value, so
 * that it is rounded by at most 3.6%, and usual speed, 100%, is exact. Values outside 25 to 1,838%
 * are clamped; beyond them the exact value makes no difference to where work is sent. Stateless.
 */
final class SlowdownCode {
    /** Smallest value that is distinguished, in percent; encoded as 1. */
    private static final double MIN_PERCENT = 25;

    private static final double STEPS_PER_DOUBLING = 10;
    private static final int UNKNOWN = 0;
    private static final int MIN_CODE = 1;
    private static final int MAX_CODE = 63;

    private SlowdownCode() {}

    /** Returns the code of a slowdown; 0 if it is unknown. */
    static int encode(OptionalInt percent) {
        if (percent.isEmpty()) {
            return UNKNOWN;
        }
        double doublings = Math.log(percent.getAsInt() / MIN_PERCENT) / Math.log(2);
        long code = MIN_CODE + Math.round(STEPS_PER_DOUBLING * doublings);
        return (int) Math.max(MIN_CODE, Math.min(MAX_CODE, code));
    }

    /** Returns the slowdown of a code; empty if it is unknown. */
    static OptionalInt decode(int code) {
        if (code == UNKNOWN) {
            return OptionalInt.empty();
        }
        double doublings = (code - MIN_CODE) / STEPS_PER_DOUBLING;
        return OptionalInt.of((int) Math.round(MIN_PERCENT * Math.pow(2, doublings)));
    }
}
