package org.forkseam.direct.flow;

import org.forkseam.core.traffic.Route;

/** Decides when a repeatable request is given to another target since this one is silent. */
final class StallDetector {
    /** Part of the time in which an answer is in time, after which another target is asked. */
    private static final double LATENCY_SHARE = 0.6;

    /** A target that sends nothing to anybody for so long is taken to be stuck. */
    private static final long TARGET_SILENT_MILLIS = 600;

    /** A stream that has begun and has paused for so long is continued elsewhere. */
    private static final long STREAM_SILENT_MILLIS = 1_200;

    private StallDetector() {}

    /**
     * Returns whether to try another target.
     *
     * @param silent for how long nothing came for this request
     * @param targetSilent for how long nothing came from the target for any request
     * @param begun whether events have been passed on
     */
    static boolean isStalled(Route route, long silent, long targetSilent, boolean begun) {
        if (!route.kind().isStream()) {
            return silent > LATENCY_SHARE * route.latencyMillis();
        }
        if (Math.min(silent, targetSilent) > TARGET_SILENT_MILLIS) {
            return true;
        }
        return begun && silent > STREAM_SILENT_MILLIS;
    }
}
