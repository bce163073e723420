package org.forkseam.direct;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Settings of a router. Immutable.
 *
 * @param host name of the host
 * @param domain failure domain of the host
 * @param regions region of each failure domain
 * @param callerAddress listen address for callers
 * @param readinessAddress listen address for the balancer's readiness checks
 * @param metricsAddress listen address for metrics and the state dump, if any
 * @param snapshotAddress listen address for snapshot requests of other routers, if any
 * @param peerAddress listen address for datagrams of other routers
 * @param hostLimits limits of the host
 * @param bounds time and load limits
 * @since 0.2
 */
public record RouterSettings(
        String host,
        String domain,
        Map<String, String> regions,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        Optional<InetSocketAddress> metricsAddress,
        Optional<InetSocketAddress> snapshotAddress,
        InetSocketAddress peerAddress,
        HostLimits hostLimits,
        Bounds bounds) {

    /**
     * Limits of the host.
     *
     * @param memoryBytes memory of a process, if limited
     * @param descriptors descriptors of a process, if limited
     */
    public record HostLimits(OptionalLong memoryBytes, OptionalInt descriptors) {
        /** Returns the limits of a host that has none. */
        public static HostLimits none() {
            return new HostLimits(OptionalLong.empty(), OptionalInt.empty());
        }
    }

    /** Returns these settings with other limits. */
    public RouterSettings withBounds(Bounds other) {
        return new RouterSettings(
                host,
                domain,
                regions,
                callerAddress,
                readinessAddress,
                metricsAddress,
                snapshotAddress,
                peerAddress,
                hostLimits,
                other);
    }

    /**
     * Time and load limits. Immutable.
     *
     * @param shutdownMillis maximum time from the stop signal to the end of the process
     * @param targetDrainMillis maximum time between a target's leave notice and its last new
     *     request
     * @param retryShare retries as a share of requests, over all routers
     * @param retryAllowance retries allowed in addition, over all routers
     * @param retryWindowMillis window of the retry limits
     * @param maxLoadRatio maximum load of a target as a multiple of its pool's mean
     * @param coldOvershoot maximum requests per second to a cold target, as a multiple of its
     *     capacity
     * @param contended whether callers of all pools may ask for more than targets can serve
     */
    public record Bounds(
            long shutdownMillis,
            long targetDrainMillis,
            double retryShare,
            double retryAllowance,
            long retryWindowMillis,
            double maxLoadRatio,
            double coldOvershoot,
            boolean contended) {}
}
