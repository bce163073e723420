package org.forkseam.direct.spi;

import org.forkseam.core.load.ReportedLoad;
import org.forkseam.core.member.AvailabilitySignal;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decoded head of a target's response. Immutable.
 *
 * @param requestIds the ids of the request that it belongs to; one in a sound response
 * @param signatures what shows that the target has made the response; one in a sound success
 * @param targetId the id of the target, which only responses to health checks name
 * @param notRun whether the target reports that it did not and will not run the request
 * @param wrongTarget whether a different target than expected listens at the address
 * @param load the load that the target reports
 * @param malformedLoad the text of a load report that is malformed, entirely or in part
 * @param keepAliveMillis how long the target keeps an idle connection
 * @param signal the target's statement on whether it accepts further requests
 * @since 0.2
 */
public record ResponseHead(
        List<String> requestIds,
        List<String> signatures,
        Optional<String> targetId,
        boolean notRun,
        boolean wrongTarget,
        Optional<ReportedLoad> load,
        Optional<String> malformedLoad,
        OptionalLong keepAliveMillis,
        AvailabilitySignal signal) {}
