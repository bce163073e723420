package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.forkseam.core.member.Evacuations;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTimestamp;
import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.traffic.PoolShare;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.RouteKind;
import org.forkseam.core.traffic.Team;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.direct.spi.SharedRow;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Tests the encodings of notices and snapshots. */
class PeerNoticeTest {
    @Property(tries = 100)
    void noticesRoundTrip(
            @ForAll PeerNotice.Kind kind,
            @ForAll int era,
            @ForAll long readAt,
            @ForAll long fingerprint) {
        PeerNotice n = new PeerNotice(kind, StoreTimestamp.of(era, readAt), fingerprint);
        assertThat(PeerNotice.read(n.write())).isEqualTo(Optional.of(n));
    }

    @Property(tries = 300)
    void bytesOfAnotherLengthAreRejected(@ForAll byte[] bytes) {
        PeerNotice known = new PeerNotice(PeerNotice.Kind.LIST, StoreTimestamp.of(0, 1), 2);
        byte[] whole = new byte[known.write().readableBytes()];
        if (bytes.length != whole.length) {
            assertThat(PeerNotice.read(Unpooled.wrappedBuffer(bytes)).isPresent()).isFalse();
        }
    }

    @Test
    void anotherFormatOrKindIsRejected() {
        byte[] b = new byte[22];
        b[0] = 9;
        assertThat(PeerNotice.read(Unpooled.wrappedBuffer(b)).isPresent()).isFalse();
        b[0] = PeerCodec.FORMAT;
        b[1] = 7;
        assertThat(PeerNotice.read(Unpooled.wrappedBuffer(b)).isPresent()).isFalse();
    }

    @Test
    void snapshotsRoundTrip() throws Exception {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/a/",
                        RouteKind.RESUMABLE,
                        1_000,
                        100,
                        50,
                        2,
                        1,
                        false,
                        List.of(new PoolShare("p", 3), new PoolShare("q", 1)),
                        List.of("north"));
        TrafficConfig c =
                TrafficConfig.of(
                        9,
                        List.of(route),
                        List.of(Pool.of("p", 10, true)),
                        Map.of(
                                "k", new Team("t", OptionalInt.of(2), List.of()),
                                "l", new Team("u", OptionalInt.empty(), List.of())),
                        new CallerLimits(1, 2, 3, 4, true));
        TargetEntry entry = new TargetEntry("i", "p", "10.0.0.1:1", "z", 4, true, 0);
        SharedRow seats = new SharedRow("seats/p", "i,j", StorePosition.of(3, 5));
        Evacuations evacuations = Evacuations.create();
        evacuations.replace(StorePosition.of(3, 12), List.of("z"), 0);
        PeerSnapshot read =
                PeerSnapshot.read(
                        PeerSnapshot.of(
                                        c,
                                        StorePosition.of(3, 7),
                                        List.of(entry),
                                        List.of(seats),
                                        evacuations)
                                .write());
        assertThat(read.config().version()).isEqualTo(9);
        assertThat(read.config().routes()).containsExactly(route);
        assertThat(read.config().pools()).containsExactly(Pool.of("p", 10, true));
        assertThat(read.config().teamsByKey()).isEqualTo(c.teamsByKey());
        assertThat(read.config().limits()).isEqualTo(c.limits());
        assertThat(read.targets()).containsExactly(entry);
        assertThat(read.listPosition()).isEqualTo(StorePosition.of(3, 7));
        assertThat(read.rows()).containsExactly(seats);
        assertThat(read.evacuations().position()).isEqualTo(StorePosition.of(3, 12));
        assertThat(read.evacuations().domains()).containsExactly("z");
    }
}
