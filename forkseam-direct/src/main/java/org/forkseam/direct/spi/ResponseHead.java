package org.forkseam.direct.spi;

import org.forkseam.core.member.TargetWord;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Holds what the head of a target's answer says, decoded.
 *
 * @param requestId the request it belongs to
 * @param notRun whether the target says that it has not run the request and will not
 * @param wrongTarget whether another target than the one expected lives at the address
 * @param load requests the target runs and holds waiting
 * @param keepMillis how long the target keeps the connection when idle
 * @param word what the target says of whether it wants further requests
 * @since 0.2
 */
public record ResponseHead(
        Optional<String> requestId,
        boolean notRun,
        boolean wrongTarget,
        OptionalInt load,
        OptionalLong keepAliveMillis,
        TargetWord word) {}
