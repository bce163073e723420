package org.forkseam.direct.spi;

import org.forkseam.core.member.AvailabilitySignal;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Decoded head of a target's response. Immutable.
 *
 * @param requestId the id of the request it belongs to
 * @param notRun whether the target reports that it did not and will not run the request
 * @param wrongTarget whether a different target than expected listens at the address
 * @param load number of requests running and queued at the target
 * @param keepAliveMillis how long the target keeps an idle connection
 * @param signal the target's statement on whether it accepts further requests
 * @since 0.2
 */
public record ResponseHead(
        Optional<String> requestId,
        boolean notRun,
        boolean wrongTarget,
        OptionalInt load,
        OptionalLong keepAliveMillis,
        AvailabilitySignal signal) {}
