package org.forkseam.core.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Tests the lookup of routes, pools and teams. */
class TrafficConfigTest {
    private static Route route(String name, String prefix, PoolShare... shares) {
        return new Route(
                name,
                "h.example",
                prefix,
                RouteKind.REPEATABLE,
                1_000,
                100,
                0,
                2,
                0,
                false,
                List.of(shares),
                List.of());
    }

    private static final TrafficConfig CONFIG =
            TrafficConfig.of(
                    3,
                    List.of(
                            route("short", "/a/", new PoolShare("p", 1)),
                            route("long", "/a/b/", new PoolShare("q", 1))),
                    List.of(Pool.of("p", 10, false)),
                    Map.of("key", new Team("team", OptionalInt.empty(), List.of())),
                    CallerLimits.defaults());

    private static Optional<String> route(String host, String path) {
        return CONFIG.route(host, path).map(Route::name);
    }

    @Test
    void theLongestPrefixWins() {
        assertThat(route("h.example", "/a/b/c")).isEqualTo(Optional.of("long"));
        assertThat(route("h.example", "/a/c")).isEqualTo(Optional.of("short"));
        assertThat(route("h.example", "/a")).isEqualTo(Optional.empty());
    }

    @Test
    void hostsAreComparedWithoutCaseAndPort() {
        assertThat(route("H.Example:8080", "/a/c")).isEqualTo(Optional.of("short"));
        assertThat(route("other.example", "/a/c")).isEqualTo(Optional.empty());
    }

    @Test
    void keysBelongToTeams() {
        assertThat(CONFIG.team("key").map(Team::name)).isEqualTo(Optional.of("team"));
        assertThat(CONFIG.team("other").isPresent()).isFalse();
        assertThat(CONFIG.requiresKey()).isTrue();
    }

    @Test
    void requestsAreSplitByWeight() {
        Route r = route("r", "/x/", new PoolShare("p", 90), new PoolShare("q", 10));
        int q = 0;
        for (int i = 0; i < 10_000; i++) {
            q += r.pool("request" + i).equals("q") ? 1 : 0;
        }
        assertThat(q).isAtLeast(900);
        assertThat(q).isAtMost(1_100);
    }

    @Test
    void zeroWeightGetsNoRequests() {
        Route r = route("r", "/x/", new PoolShare("p", 0), new PoolShare("q", 1));
        for (int i = 0; i < 100; i++) {
            assertThat(r.pool("request" + i)).isEqualTo("q");
        }
    }

    @Test
    void emptyConfigurationIsNotKnown() {
        assertThat(TrafficConfig.none().isKnown()).isFalse();
        assertThat(CONFIG.isKnown()).isTrue();
    }

    @Test
    void secondToLastPartIsThePromptKey() {
        Prompt p =
                new Prompt(
                        "m",
                        List.of(
                                new Prompt.Part("common", 500),
                                new Prompt.Part("subject", 10_000),
                                new Prompt.Part("own", 1_300)));
        assertThat(p.sharedKey()).isEqualTo("subject");
        assertThat(p.sharedTokens()).isEqualTo(10_500);
        assertThat(new Prompt("m", List.of()).sharedKey()).isEqualTo("m");
    }
}
