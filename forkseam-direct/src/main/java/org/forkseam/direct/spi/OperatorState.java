package org.forkseam.direct.spi;

import org.forkseam.core.traffic.TrafficConfig;

import java.util.Optional;
import java.util.Set;

/**
 * State set by operators: complete after a read, changes only after a wait. Immutable.
 *
 * @param config the newest configuration, if it exists or has changed
 * @param evacuated failure domains that receive no new requests
 * @param restored failure domains whose evacuation has ended; empty after a read
 * @since 0.5
 */
public record OperatorState(
        Optional<TrafficConfig> config, Set<String> evacuated, Set<String> restored) {}
