package org.forkseam.core.admit;

/**
 * Request for which a {@link PoolAdmission} decides.
 *
 * @param priority the priority; 0 is the most urgent
 * @param latencyMillis the latency objective
 * @param receivedMillis the arrival time
 * @param deadlineMillis the latest time for the final response
 * @param team the name of the caller's team; empty if unknown
 * @since 0.8
 */
public record AdmissionRequest(
        int priority, long latencyMillis, long receivedMillis, long deadlineMillis, String team) {
    /** Returns the time by which the first byte of the response is due. */
    long objectiveMillis() {
        return Math.min(receivedMillis + latencyMillis, deadlineMillis);
    }
}
