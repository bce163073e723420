package org.forkseam.core.member;

import org.forkseam.core.label.Labels;

/**
 * Entry of the platform's host list.
 *
 * @param host the host's name
 * @param address where its daemon listens for other daemons, {@code ip:port}
 * @param leaving whether the platform reports that the host is leaving
 * @param labels the host's labels; {@code role} and {@code failure-domain} are interpreted, and on
 *     target hosts {@code target} and {@code capacity}
 */
public record HostEntry(String host, String address, boolean leaving, Labels labels) {
    /** Label for the daemon's role. */
    public static final String ROLE = "role";

    /** Label for the failure domain. */
    public static final String FAILURE_DOMAIN = "failure-domain";

    /** Label for the name of the target on the host. */
    public static final String TARGET = "target";

    /** Label for the number of requests that the target serves concurrently. */
    public static final String CAPACITY = "capacity";

    /** Label for whether the target is an engine or a service. */
    public static final String KIND = "kind";

    /** Returns whether a target's sidecar runs on the host. */
    public boolean isTarget() {
        return "sidecar".equals(labels.get(ROLE).orElse("")) && labels.has(TARGET);
    }

    /** Returns whether a router runs on the host. */
    public boolean isRouter() {
        return "router".equals(labels.get(ROLE).orElse(""));
    }
}
