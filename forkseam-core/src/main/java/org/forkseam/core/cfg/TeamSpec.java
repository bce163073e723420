package org.forkseam.core.cfg;

import org.forkseam.core.label.Labels;

/**
 * Declares a team with its labels, fair share and quota.
 *
 * @param name the team's name
 * @param labels labels by which intents match the team
 * @param weight the team's relative share of an overloaded target
 * @param requestsPerSecond hard quota over the whole fleet; 0 means none
 * @param burst number of requests allowed at once within the quota
 */
public record TeamSpec(
        String name, Labels labels, double weight, double requestsPerSecond, double burst) {
    /** Returns the defaults for a team that is not declared. */
    public static TeamSpec undeclared(String name) {
        return new TeamSpec(name, Labels.empty(), 1, 0, 0);
    }
}
