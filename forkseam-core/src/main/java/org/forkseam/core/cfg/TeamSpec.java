package org.forkseam.core.cfg;

import org.forkseam.core.label.Labels;

/**
 * Declares a team: its labels, its fair share and its quota.
 *
 * @param name the team's name
 * @param labels what intents select teams by
 * @param weight share of a crowded target, against the other teams' weights
 * @param requestsPerSecond hard quota over the whole fleet; 0 means none
 * @param burst requests that may come at once within the quota
 */
public record TeamSpec(
        String name, Labels labels, double weight, double requestsPerSecond, double burst) {
    /** Returns the team used for a name that nobody declared. */
    public static TeamSpec undeclared(String name) {
        return new TeamSpec(name, Labels.empty(), 1, 0, 0);
    }
}
