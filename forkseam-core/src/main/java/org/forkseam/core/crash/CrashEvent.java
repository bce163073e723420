package org.forkseam.core.crash;

/**
 * Report that a target crashed while it had a request, or that such a request was answered.
 *
 * @param fingerprint fingerprint of the request's content or of one part of its prompt
 * @param crashId identifies the crash, equal on all routers; 0 if a request with the fingerprint
 *     was answered just now, and one of the smallest integers if it was answered some time ago
 * @since 0.5
 */
public record CrashEvent(long fingerprint, int crashId) {
    /** Largest age of an answer in units. */
    private static final int MAX_AGE_UNITS = 127;

    private static final int AGE_UNIT_MILLIS = 100;

    /** Maximum number of events per message, at 12 bytes each. */
    public static final int MAX_PER_MESSAGE = 30;

    /** Creates the report of a request that was just answered. */
    public static CrashEvent answered(long fingerprint) {
        return answered(fingerprint, 0);
    }

    /** Creates the report of a request that was answered some time ago. */
    public static CrashEvent answered(long fingerprint, long agoMillis) {
        int units = (int) Math.min(MAX_AGE_UNITS, ceilDiv(agoMillis, AGE_UNIT_MILLIS));
        return new CrashEvent(fingerprint, units == 0 ? 0 : Integer.MIN_VALUE + units);
    }

    /**
     * Creates the report of a crash with a part in flight.
     *
     * @param atMillis time of the crash by the clock of the store, of which 32 bits are kept
     */
    public static CrashEvent ofPart(long fingerprint, long atMillis) {
        CrashEvent e = new CrashEvent(fingerprint, (int) atMillis);
        return e.isAnswered() ? new CrashEvent(fingerprint, e.crashId() + MAX_AGE_UNITS + 1) : e;
    }

    private static long ceilDiv(long a, long b) {
        return (a + b - 1) / b;
    }

    /** Returns whether the request was answered. */
    public boolean isAnswered() {
        return crashId == 0 || crashId <= Integer.MIN_VALUE + MAX_AGE_UNITS;
    }

    /** Returns how long ago the request was answered, in milliseconds. */
    public long answeredAgoMillis() {
        return crashId == 0 ? 0 : (long) (crashId - Integer.MIN_VALUE) * AGE_UNIT_MILLIS;
    }
}
