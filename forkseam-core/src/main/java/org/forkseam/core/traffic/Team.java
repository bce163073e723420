package org.forkseam.core.traffic;

import java.util.List;
import java.util.OptionalInt;

/**
 * Holds what is known of the team that a caller's key belongs to.
 *
 * @param name the team's name
 * @param priority rank that goes before the route's, if declared
 * @param homes regions whose targets may serve it; any if there are none
 */
public record Team(String name, OptionalInt priority, List<String> homes) {}
