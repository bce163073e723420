package org.forkseam.core.member;

import org.forkseam.core.label.Labels;

/**
 * Holds one entry of the platform's host list.
 *
 * @param host the host's name
 * @param address where the daemon on it listens for other daemons, {@code ip:port}
 * @param leaving whether the platform says that the host is leaving
 * @param labels labels the host brings; {@code role}, {@code failure-domain}, and on target hosts
 *     {@code target} and {@code capacity} are understood
 */
public record HostEntry(String host, String address, boolean leaving, Labels labels) {
    /** Label that names the daemon's role. */
    public static final String ROLE = "role";

    /** Label that names the failure domain. */
    public static final String FAILURE_DOMAIN = "failure-domain";

    /** Label that names the target on the host. */
    public static final String TARGET = "target";

    /** Label that tells how many requests the target runs at once. */
    public static final String CAPACITY = "capacity";

    /** Label that says whether the target is an engine or a service. */
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
