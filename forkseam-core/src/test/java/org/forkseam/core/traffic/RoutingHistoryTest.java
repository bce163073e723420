package org.forkseam.core.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Guards against taking the pool that serves a path now for the one that began a stream, after the
 * path has moved to another pool.
 */
class RoutingHistoryTest {
    private static final long WINDOW_MILLIS = 30_000;

    private final RoutingHistory mHistory = RoutingHistory.create();
    private final List<Route> mRoutes = new ArrayList<>();
    private long mVersion;

    private static Route route(String prefix, PoolShare... shares) {
        return new Route(
                "name-" + prefix,
                "h.example",
                prefix,
                RouteKind.RESUMABLE,
                10_000,
                600,
                400,
                2,
                1,
                true,
                List.of(shares),
                List.of());
    }

    private static Route route(String prefix, String pool) {
        return route(prefix, new PoolShare(pool, 1));
    }

    private void configure(long now, Route... routes) {
        mRoutes.clear();
        mRoutes.addAll(List.of(routes));
        mHistory.onConfig(
                TrafficConfig.of(++mVersion, mRoutes, List.of(), Map.of(), CallerLimits.defaults()),
                now);
    }

    private boolean isUnchanged(int index, long now) {
        return mHistory.isUnchangedFor(mRoutes.get(index), WINDOW_MILLIS, now);
    }

    @Test
    void routesOfTheFirstConfigurationCountAsUnchanged() {
        configure(1_000, route("/a/", "p"));
        assertThat(isUnchanged(0, 1_000)).isTrue();
    }

    @Test
    void otherChangesOfARouteDoNotCount() {
        configure(0, route("/a/", "p"));
        Route slower =
                new Route(
                        "other",
                        "h.example",
                        "/a/",
                        RouteKind.RESUMABLE,
                        20_000,
                        900,
                        400,
                        3,
                        0,
                        false,
                        List.of(new PoolShare("p", 1)),
                        List.of());
        configure(1_000, slower, route("/b/", "q"));
        assertThat(isUnchanged(0, 1_000)).isTrue();
        assertThat(isUnchanged(1, 1_000)).isFalse();
    }

    @Test
    void movedOrSplitRouteIsChangedForTheWindow() {
        configure(0, route("/a/", "p"), route("/b/", "p"));
        configure(
                1_000,
                route("/a/", "q"),
                route("/b/", new PoolShare("p", 1), new PoolShare("q", 1)));
        for (int i = 0; i < 2; i++) {
            assertThat(isUnchanged(i, 1_000 + WINDOW_MILLIS - 1)).isFalse();
            assertThat(isUnchanged(i, 1_000 + WINDOW_MILLIS)).isTrue();
        }
    }

    /** A longer prefix takes paths from a shorter one, and gives them back when it is removed. */
    @Test
    void addedAndRemovedLongerPrefixesChangeTheirPaths() {
        configure(0, route("/a/", "p"));
        configure(1_000, route("/a/", "p"), route("/a/b/", "q"));
        assertThat(isUnchanged(0, 1_000)).isTrue();
        assertThat(isUnchanged(1, 1_000)).isFalse();
        configure(2_000, route("/a/", "p"));
        assertThat(isUnchanged(0, 2_000)).isFalse();
    }
}
