package org.forkseam.direct.spi;

import java.util.Optional;

/**
 * Holds what the router adds to a request that it hands to a target.
 *
 * @param targetId the only target that may run it
 * @param waitMillis what is left of the caller's time
 * @param team the team the caller belongs to
 * @param priority rank, 0 is the most urgent
 * @param lastEventId event after which the stream is to go on
 * @param copyFrom address of a target from which the prompt is to be copied, IP:PORT
 * @since 0.2
 */
public record ForwardingInfo(
        String targetId,
        long remainingMillis,
        Optional<String> team,
        int priority,
        Optional<String> lastEventId,
        Optional<String> copySource) {}
