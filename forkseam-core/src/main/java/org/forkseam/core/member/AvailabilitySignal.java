package org.forkseam.core.member;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Availability signal in the header of a target's response.
 *
 * @param leaving whether the target is about to terminate
 * @param holdOffMillis time for which the router should send no requests
 * @param malformed a header field whose value could not be parsed
 * @since 0.6
 */
public record AvailabilitySignal(
        boolean leaving, OptionalLong holdOffMillis, Optional<String> malformed) {
    /** Signal of a response without availability header fields. */
    public static final AvailabilitySignal NONE =
            new AvailabilitySignal(false, OptionalLong.empty(), Optional.empty());

    /** Returns whether the signal is empty. */
    public boolean isNone() {
        return !leaving && holdOffMillis.isEmpty() && malformed.isEmpty();
    }
}
