package org.forkseam.direct.spi;

import org.forkseam.core.traffic.TrafficConfig;

import java.util.Optional;
import java.util.Set;

/**
 * Holds what operators have written: all of it after a read, what has changed after a wait.
 *
 * @param config the newest configuration, if there is one or if it has changed
 * @param evacuated failure domains that are to get no new work
 * @param returned failure domains that were evacuated before; empty after a read
 * @since 0.5
 */
public record OperatorState(
        Optional<TrafficConfig> config, Set<String> evacuated, Set<String> restored) {}
