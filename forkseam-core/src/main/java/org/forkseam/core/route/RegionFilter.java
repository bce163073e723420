package org.forkseam.core.route;

import org.forkseam.core.member.Target;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.Team;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Restricts requests to the regions allowed by both their route and their team. Immutable.
 *
 * @since 0.5
 */
public final class RegionFilter {
    private final Map<String, String> mRegionByDomain;

    private RegionFilter(Map<String, String> regionByDomain) {
        mRegionByDomain = Map.copyOf(regionByDomain);
    }

    /** Creates a filter from the region of each failure domain. */
    public static RegionFilter of(Map<String, String> regionByDomain) {
        return new RegionFilter(regionByDomain);
    }

    /** Returns the targets that may serve a request of a route and a team. */
    public List<Target> allowed(List<Target> targets, Route route, Optional<Team> team) {
        List<String> teamRegions = team.map(Team::homes).orElse(List.of());
        if (route.homes().isEmpty() && teamRegions.isEmpty()) {
            return targets;
        }
        return targets.stream()
                .filter(t -> isIn(t, route.homes()) && isIn(t, teamRegions))
                .toList();
    }

    /** A target whose region is unknown is in no region. */
    private boolean isIn(Target t, List<String> regions) {
        if (regions.isEmpty()) {
            return true;
        }
        String region = mRegionByDomain.get(t.entry().domain());
        return region != null && regions.contains(region);
    }
}
