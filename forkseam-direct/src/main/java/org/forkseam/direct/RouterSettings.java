package org.forkseam.direct;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/**
 * Holds what a router on the direct path is told.
 *
 * @param host name of its host
 * @param domain its failure domain
 * @param regions the region of each failure domain
 * @param callers where callers connect
 * @param readiness where the balancer asks whether it is ready
 * @param metrics where metrics and the state dump are served
 * @param peers where other routers ask what this one knows, if anywhere
 * @param notices where other routers send datagrams
 * @param bounds times and shares to keep to
 * @since 0.2
 */
public record RouterSettings(
        String host,
        String domain,
        Map<String, String> regions,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        Optional<InetSocketAddress> metricsAddress,
        Optional<InetSocketAddress> peerAddress,
        InetSocketAddress noticeAddress,
        Bounds bounds) {

    /** Returns the same settings with other bounds. */
    public RouterSettings withBounds(Bounds other) {
        return new RouterSettings(
                host,
                domain,
                regions,
                callerAddress,
                readinessAddress,
                metricsAddress,
                peerAddress,
                noticeAddress,
                other);
    }

    /**
     * Holds times and shares to keep to.
     *
     * @param stopMillis time from the order to stop to the end of the process
     * @param leaveMillis time from a target's word that it leaves to its last new request
     * @param repeatShare repeats allowed per request, over all routers
     * @param repeatAllowance repeats allowed besides, over all routers
     * @param repeatWindowMillis window in which both are counted
     * @param loadMultiple bound on a target's load, as a multiple of its pool's mean
     * @param coldOvershoot bound on the requests that a cold target gets within a second, as a
     *     multiple of what it bears
     */
    public record Bounds(
            long shutdownMillis,
            long targetDrainMillis,
            double retryShare,
            double retryAllowance,
            long retryWindowMillis,
            double maxLoadRatio,
            double coldOvershoot) {}
}
