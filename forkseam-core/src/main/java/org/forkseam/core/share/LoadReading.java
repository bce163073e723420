package org.forkseam.core.share;

import org.forkseam.core.load.ReportedLoad;

import java.util.OptionalInt;

/**
 * Holds the load reported by a target, as sent from one router to another.
 *
 * <p>A reading takes 8 bytes: target 32 bits, load 11, waiting 8, slowdown 6, age 7. Values that do
 * not fit are clamped; see {@link SlowdownCode} for the rounding of the slowdown.
 *
 * @param target low bits of the hash of the target's id
 * @param load requests of all routers that were running or queued at the target
 * @param waiting requests in the target's queue
 * @param slowdownPercent how long work takes in percent of the usual; empty if not reported
 * @param ageMillis time since the target reported the load
 * @since 0.4
 */
public record LoadReading(
        int target, int load, int waiting, OptionalInt slowdownPercent, int ageMillis) {
    /** Number of bytes of an encoded reading. */
    public static final int BYTES = 8;

    private static final int LOAD_BITS = 11;
    private static final int WAITING_BITS = 8;
    private static final int SLOWDOWN_BITS = 6;
    private static final int AGE_BITS = 7;

    private static final int SLOWDOWN_SHIFT = AGE_BITS;
    private static final int WAITING_SHIFT = SLOWDOWN_SHIFT + SLOWDOWN_BITS;
    private static final int LOAD_SHIFT = WAITING_SHIFT + WAITING_BITS;
    private static final int TARGET_SHIFT = LOAD_SHIFT + LOAD_BITS;

    /** Unit of encoded ages; 127 of them cover the age up to which readings are sent. */
    private static final int AGE_UNIT_MILLIS = 8;

    /** Creates a reading of what a target reported. */
    public static LoadReading of(int target, ReportedLoad report, int ageMillis) {
        return new LoadReading(
                target, report.total(), report.waiting(), report.slowdownPercent(), ageMillis);
    }

    /** Returns the report that this reading is about; its slots are unknown. */
    public ReportedLoad report() {
        return new ReportedLoad(Math.max(0, load - waiting), waiting, 0, slowdownPercent);
    }

    /** Encodes the reading. */
    public long toBits() {
        return (long) target << TARGET_SHIFT
                | clamp(load, LOAD_BITS) << LOAD_SHIFT
                | clamp(waiting, WAITING_BITS) << WAITING_SHIFT
                | clamp(SlowdownCode.encode(slowdownPercent), SLOWDOWN_BITS) << SLOWDOWN_SHIFT
                | clamp(ageUnits(), AGE_BITS);
    }

    /**
     * Returns the age in units, rounded up: a reading that seems newer than it is would replace the
     * original when it comes back to its sender.
     */
    private int ageUnits() {
        return (int) (((long) ageMillis + AGE_UNIT_MILLIS - 1) / AGE_UNIT_MILLIS);
    }

    private static long clamp(int value, int width) {
        return Math.max(0, Math.min((1 << width) - 1, value));
    }

    /** Decodes a reading; any bits are valid. */
    public static LoadReading ofBits(long bits) {
        return new LoadReading(
                (int) (bits >>> TARGET_SHIFT),
                extract(bits, LOAD_SHIFT, LOAD_BITS),
                extract(bits, WAITING_SHIFT, WAITING_BITS),
                SlowdownCode.decode(extract(bits, SLOWDOWN_SHIFT, SLOWDOWN_BITS)),
                extract(bits, 0, AGE_BITS) * AGE_UNIT_MILLIS);
    }

    private static int extract(long bits, int shift, int width) {
        return (int) (bits >>> shift) & (1 << width) - 1;
    }
}
