package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.traffic.PoolShare;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.RouteKind;
import org.forkseam.core.traffic.Team;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Tests that requests stay in their allowed regions, on a fleet of two regions. */
class RegionFilterTest {
    private static final RegionFilter FILTER =
            RegionFilter.of(Map.of("hall-a", "north", "hall-b", "north", "hall-c", "south"));

    private static final Target A = target("hall-a");
    private static final Target B = target("hall-b");
    private static final Target C = target("hall-c");
    private static final Target UNKNOWN_REGION = target("hall-x");
    private static final List<Target> ALL = List.of(A, B, C, UNKNOWN_REGION);

    private static Target target(String domain) {
        return Target.of(new TargetEntry("i-" + domain, "p", "10.0.0.1:1", domain, 4, false, 0));
    }

    private static Route route(String... regions) {
        return new Route(
                "r",
                "h",
                "/",
                RouteKind.REPEATABLE,
                1_000,
                100,
                0,
                2,
                0,
                false,
                List.of(new PoolShare("p", 1)),
                List.of(regions));
    }

    private static List<Target> allowed(Route route, String... teamRegions) {
        Team team = new Team("t", OptionalInt.empty(), List.of(teamRegions));
        return FILTER.allowed(ALL, route, Optional.of(team));
    }

    @Test
    void withoutRestrictionAllTargetsAreAllowed() {
        assertThat(allowed(route())).isEqualTo(ALL);
        assertThat(FILTER.allowed(ALL, route(), Optional.empty())).isEqualTo(ALL);
    }

    @Test
    void routeRestrictionApplies() {
        assertThat(allowed(route("north"))).containsExactly(A, B);
        assertThat(FILTER.allowed(ALL, route("south"), Optional.empty())).containsExactly(C);
    }

    @Test
    void teamRestrictionApplies() {
        assertThat(allowed(route(), "south")).containsExactly(C);
    }

    @Test
    void bothRestrictionsAreIntersected() {
        assertThat(allowed(route("north", "south"), "south")).containsExactly(C);
        assertThat(allowed(route("north"), "south")).isEmpty();
    }

    @Test
    void targetOfUnknownRegionIsExcluded() {
        assertThat(allowed(route("north", "south", "hall-x"))).containsExactly(A, B, C);
    }
}
