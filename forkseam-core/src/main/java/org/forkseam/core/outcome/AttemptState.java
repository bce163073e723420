package org.forkseam.core.outcome;

/**
 * Describes an attempt that has received no data yet, for {@link AttemptPatience}.
 *
 * @param silentMillis time since the request was sent or its target last sent data for it
 * @param targetSilentMillis time for which the target has had requests of this router without
 *     sending data on any connection
 * @param queue what is known of the target's queue
 * @param objectiveMillis the route's latency objective
 * @param remainingMillis time left until the request's deadline
 * @since 0.8
 */
public record AttemptState(
        long silentMillis,
        long targetSilentMillis,
        TargetQueue queue,
        long objectiveMillis,
        long remainingMillis) {
    /**
     * Holds what a target has reported of its load.
     *
     * @param waiting requests in its queue ahead of this one; 0 if not reported
     * @param slots requests that it processes at the same time
     * @param slowdown factor by which work takes longer than usual at present
     * @param ageMillis age of the newest report
     */
    public record TargetQueue(int waiting, int slots, double slowdown, long ageMillis) {
        /** Queue of a target that reports no load. */
        public static final TargetQueue UNKNOWN = new TargetQueue(0, 1, 1.0, Long.MAX_VALUE);

        /** Returns the queue with at least this number of waiting requests. */
        public TargetQueue withAtLeast(int minWaiting) {
            return new TargetQueue(Math.max(waiting, minWaiting), slots, slowdown, ageMillis);
        }

        /** Returns whether requests were waiting. */
        public boolean isReported() {
            return waiting > 0;
        }

        /**
         * Returns how many times the usual service time passes until a request at the end of the
         * queue is answered.
         */
        public double serviceTimes() {
            return slowdown * (1 + (double) waiting / Math.max(1, slots));
        }
    }
}
