package org.forkseam.core.traffic;

import java.util.List;
import java.util.OptionalInt;

/**
 * Team that a caller's key belongs to.
 *
 * @param name the team's name
 * @param priority priority that overrides the route's, if declared
 * @param homes regions whose targets may serve the team; any if empty
 */
public record Team(String name, OptionalInt priority, List<String> homes) {}
