package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.traffic.PoolShare;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.RouteKind;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;

/** Tests when the pool that began a resumed stream is known. */
class ResumableStreamTest {
    private static Route route(PoolShare... shares) {
        return new Route(
                "r",
                "h.example",
                "/r/",
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

    /**
     * Guards against a stream that goes on in another pool of a split route than the one that began
     * it, since its caller does not name the request that began it.
     */
    @Test
    void poolOfAnUnnamedStreamIsUnknownOnASplitRoute() {
        Route split = route(new PoolShare("p", 1), new PoolShare("q", 1));
        assertThat(ResumableStream.isPoolKnown(split, Optional.empty())).isFalse();
        assertThat(ResumableStream.isPoolKnown(split, Optional.of("id"))).isTrue();
        assertThat(ResumableStream.isPoolKnown(route(new PoolShare("p", 1)), Optional.empty()))
                .isTrue();
    }
}
