package org.forkseam.core.route;

import org.forkseam.core.member.Target;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.Team;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps requests in the regions that their route and their team allow; where both name some, only
 * in those that both name. Immutable.
 *
 * @since 0.5
 */
public final class HomeRegions {
    private final Map<String, String> mRegionByDomain;

    private HomeRegions(Map<String, String> regionByDomain) {
        mRegionByDomain = Map.copyOf(regionByDomain);
    }

    /** Creates the rule for a fleet whose failure domains lie in these regions. */
    public static HomeRegions of(Map<String, String> regionByDomain) {
        return new HomeRegions(regionByDomain);
    }

    /** Returns the targets that may serve a request of a route and a team. */
    public List<Target> allowed(List<Target> targets, Route route, Optional<Team> team) {
        List<String> teamHomes = team.map(Team::homes).orElse(List.of());
        if (route.homes().isEmpty() && teamHomes.isEmpty()) {
            return targets;
        }
        return targets.stream().filter(t -> isIn(t, route.homes()) && isIn(t, teamHomes)).toList();
    }

    /** A target of which the region is not known is in none: it must not get such a request. */
    private boolean isIn(Target t, List<String> homes) {
        if (homes.isEmpty()) {
            return true;
        }
        String region = mRegionByDomain.get(t.entry().domain());
        return region != null && homes.contains(region);
    }
}
