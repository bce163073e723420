package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.core.traffic.PoolShare;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.RouteKind;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.direct.spi.RequestHead;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Tests which pool of a split route an admitted request goes to. */
class AdmissionTest {
    private static final int REQUESTS = 100;

    private static Route route(RouteKind kind) {
        return new Route(
                "r",
                "h.example",
                "/r/",
                kind,
                10_000,
                600,
                400,
                2,
                1,
                true,
                List.of(new PoolShare("p", 50), new PoolShare("q", 50)),
                List.of());
    }

    private static String pool(
            RouteKind kind, String id, Optional<String> lastEventId, Optional<String> resumes) {
        Route route = route(kind);
        TrafficConfig config =
                TrafficConfig.of(1, List.of(route), List.of(), Map.of(), CallerLimits.defaults());
        RequestHead head =
                new RequestHead(
                        Optional.of(id),
                        OptionalLong.of(5_000),
                        Optional.empty(),
                        Optional.empty(),
                        lastEventId,
                        resumes,
                        Optional.empty());
        CallerRequest request =
                new CallerRequest(
                        HttpMethod.POST,
                        "/r/x",
                        new DefaultHttpHeaders(),
                        new byte[0],
                        head,
                        Arrival.at(0));
        return Admission.of(config, new AdmissionCheck.Admitted(route, Optional.empty()), request)
                .pool();
    }

    private static String newRequestPool(RouteKind kind, String id) {
        return pool(kind, id, Optional.empty(), Optional.empty());
    }

    /** Guards against a stream that goes on in another pool because each attempt has a new id. */
    @Test
    void resumedStreamStaysInThePoolThatBeganIt() {
        for (int i = 0; i < REQUESTS; i++) {
            String first = "first-" + i;
            String resumed =
                    pool(RouteKind.RESUMABLE, "next-" + i, Optional.of("7"), Optional.of(first));
            assertThat(resumed).isEqualTo(newRequestPool(RouteKind.RESUMABLE, first));
        }
    }

    /** A caller that has received no event, or whose route cannot resume, begins anew. */
    @Test
    void otherRequestsAreSpreadByTheirOwnId() {
        for (int i = 0; i < REQUESTS; i++) {
            String id = "next-" + i;
            Optional<String> resumes = Optional.of("first-" + i);
            assertThat(pool(RouteKind.RESUMABLE, id, Optional.empty(), resumes))
                    .isEqualTo(newRequestPool(RouteKind.RESUMABLE, id));
            assertThat(pool(RouteKind.STREAMED, id, Optional.of("7"), resumes))
                    .isEqualTo(newRequestPool(RouteKind.STREAMED, id));
        }
    }
}
