package org.forkseam.direct.spi;

import java.util.Optional;

/**
 * Information that the router adds to a request forwarded to a target. Immutable.
 *
 * @param targetId the only target that may run the request
 * @param remainingMillis remaining time until the caller's timeout
 * @param team the caller's team
 * @param priority priority, 0 is the most urgent
 * @param lastEventId event after which the stream is to resume
 * @param copySource address of a target from which to copy the prompt, IP:PORT
 * @since 0.2
 */
public record ForwardingInfo(
        String targetId,
        long remainingMillis,
        Optional<String> team,
        int priority,
        Optional<String> lastEventId,
        Optional<String> copySource) {}
