package org.forkseam.direct.flow;

import org.forkseam.core.traffic.Route;

/**
 * Decides when a retryable request is moved to another target because the current one is silent.
 * Stateless.
 */
final class StallDetector {
    /**
     * Share of the route's latency objective after which a non-streaming attempt counts as stalled.
     */
    private static final double LATENCY_SHARE = 0.6;

    /** A target that sends nothing on any connection for this long counts as stalled. */
    private static final long TARGET_SILENT_MILLIS = 600;

    /** A started stream that pauses for this long is resumed elsewhere. */
    private static final long STREAM_SILENT_MILLIS = 1_200;

    private StallDetector() {}

    /**
     * Returns whether the attempt is stalled.
     *
     * @param silent time in milliseconds without data for this request, once streaming without
     *     events
     * @param targetSilent time in milliseconds without data from the target for any request
     * @param streaming whether events were already forwarded
     */
    static boolean isStalled(Route route, long silent, long targetSilent, boolean streaming) {
        if (!route.kind().isStream()) {
            return silent > LATENCY_SHARE * route.latencyMillis();
        }
        if (Math.min(silent, targetSilent) > TARGET_SILENT_MILLIS) {
            return true;
        }
        return streaming && silent > STREAM_SILENT_MILLIS;
    }
}
