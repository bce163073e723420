package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.forkseam.core.crash.CrashEvent;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.place.PlacementDone;
import org.forkseam.core.place.PlacementQuery;
import org.forkseam.core.place.PlacementReply;
import org.forkseam.core.share.LoadGossip;
import org.forkseam.core.share.LoadReading;
import org.forkseam.core.share.PromptHolder;
import org.forkseam.core.share.StreamOrigin;
import org.forkseam.core.share.TargetListDelta;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTimestamp;
import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.core.traffic.ColdStart;
import org.forkseam.core.traffic.ConfigChange;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.traffic.PoolShare;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.RouteKind;
import org.forkseam.core.traffic.Team;
import org.forkseam.direct.spi.SharedRow;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Tests that datagrams round-trip, that malformed ones are rejected, and that they stay within the
 * size limit.
 */
class PeerCodecTest {
    private static final TargetEntry ENTRY =
            new TargetEntry(
                    "i-7f3a91c2",
                    "forecast-lm",
                    "10.1.0.40:8001",
                    "hall-a",
                    12,
                    true,
                    0,
                    7,
                    "v1.2");
    private static final PeerMessage OPERATORS =
            new PeerMessage.Operators(1, StorePosition.of(1, 2), 3, -4, List.of("hall-a", "ö"));
    private static final PeerMessage TARGETS =
            new PeerMessage.Targets(
                    new TargetListDelta(
                            5,
                            StorePosition.of(2, 6),
                            Long.MIN_VALUE,
                            3,
                            List.of(ENTRY),
                            List.of("i-1", "ö")));
    private static final PeerMessage ROWS =
            new PeerMessage.Rows(
                    7,
                    StorePosition.of(1, 8),
                    StorePosition.of(2, 9),
                    true,
                    List.of(new SharedRow("seats/p", "i,j", StorePosition.of(2, 9)), gone()));
    private static final PeerMessage OBSERVATIONS =
            new PeerMessage.Observations(
                    List.of(
                            new LoadReading(-5, 17, 9, OptionalInt.of(246), 1_000),
                            new LoadReading(3, 0, 0, OptionalInt.empty(), 0)),
                    List.of(new PromptHolder(Long.MAX_VALUE, -7)),
                    List.of(new CrashEvent(-9, 11), CrashEvent.answered(12)),
                    List.of(13, -14));

    private static final PeerMessage CONFIG =
            new PeerMessage.Config(
                    new ConfigChange(
                            7,
                            9,
                            -1,
                            Long.MIN_VALUE,
                            List.of(
                                    new Route(
                                            "r",
                                            "h.example",
                                            "/a/",
                                            RouteKind.RESUMABLE,
                                            10_000,
                                            600,
                                            400,
                                            2,
                                            1,
                                            true,
                                            List.of(new PoolShare("p", 90)),
                                            List.of("north"))),
                            List.of("gone"),
                            List.of(
                                    new Pool(
                                            "p",
                                            460,
                                            true,
                                            new ColdStart(3_000, 23.5),
                                            2_700,
                                            "/health")),
                            List.of(),
                            Map.of(
                                    "k", new Team("t", OptionalInt.of(3), List.of()),
                                    "l", new Team("u", OptionalInt.empty(), List.of())),
                            List.of("m"),
                            CallerLimits.defaults().withKeyRequired(true)));

    private static final PeerMessage STREAM_ORIGINS =
            new PeerMessage.StreamOrigins(
                    List.of(
                            new StreamOrigin(Long.MIN_VALUE, 7),
                            new StreamOrigin(-3, StreamOrigin.UNKNOWN)));
    private static final PeerMessage RECORD_STREAMS =
            new PeerMessage.RecordStreams(List.of(new StreamOrigin(Long.MIN_VALUE, 3)));
    private static final PeerMessage STREAMS_RECORDED =
            new PeerMessage.StreamsRecorded(List.of(-5L, Long.MAX_VALUE));
    private static final PeerMessage STREAM_QUERY = new PeerMessage.StreamQuery(-5, "forecast-lm");

    private static final PeerMessage PLACE_PROMPT =
            new PeerMessage.PlacePrompt(
                    new PlacementQuery(
                            Long.MIN_VALUE,
                            "forecast-lm-of-the-northern-region-2",
                            -1,
                            Long.MAX_VALUE,
                            2_520,
                            8_620,
                            Integer.MAX_VALUE,
                            -7));
    private static final PeerMessage PLACEMENT_ANSWER =
            new PeerMessage.PlacementAnswer(new PlacementReply(-1, Integer.MIN_VALUE, 3));
    private static final PeerMessage PROMPT_PLACED =
            new PeerMessage.PromptPlaced(new PlacementDone(7, -3, true, 2.5));

    private static SharedRow gone() {
        return SharedRow.absent("router/h", 2);
    }

    private static ByteBuf written(PeerMessage m) {
        return PeerCodec.write(m).orElseThrow();
    }

    @Test
    void messagesRoundTrip() {
        PeerMessage notice = new PeerNotice(PeerNotice.Kind.LIST, StoreTimestamp.of(1, 3), 4);
        for (PeerMessage m :
                List.of(
                        notice,
                        OPERATORS,
                        CONFIG,
                        TARGETS,
                        ROWS,
                        OBSERVATIONS,
                        STREAM_ORIGINS,
                        RECORD_STREAMS,
                        STREAMS_RECORDED,
                        STREAM_QUERY,
                        PLACE_PROMPT,
                        PLACEMENT_ANSWER,
                        PROMPT_PLACED)) {
            assertThat(PeerCodec.read(written(m))).isEqualTo(Optional.of(m));
        }
    }

    /** Guards against a change of an earlier format, which lacks whether keys are required. */
    @Test
    void messagesOfOtherFormatsAreRejected() {
        for (int format = 0; format < PeerCodec.FORMAT + 3; format++) {
            ByteBuf b = written(CONFIG);
            b.setByte(0, format);
            assertThat(PeerCodec.read(b).isPresent()).isEqualTo(format == PeerCodec.FORMAT);
        }
    }

    @Test
    void truncatedAndOverlongMessagesAreRejected() {
        for (PeerMessage m :
                List.of(
                        OPERATORS,
                        CONFIG,
                        TARGETS,
                        ROWS,
                        OBSERVATIONS,
                        STREAM_ORIGINS,
                        RECORD_STREAMS,
                        STREAMS_RECORDED,
                        STREAM_QUERY,
                        PLACE_PROMPT,
                        PLACEMENT_ANSWER,
                        PROMPT_PLACED)) {
            ByteBuf whole = written(m);
            for (int n = 0; n < whole.readableBytes(); n++) {
                assertThat(PeerCodec.read(whole.copy(0, n)).isPresent()).isFalse();
            }
            ByteBuf longer = Unpooled.wrappedBuffer(whole, Unpooled.wrappedBuffer(new byte[1]));
            assertThat(PeerCodec.read(longer).isPresent()).isFalse();
        }
    }

    @Property(tries = 500)
    void arbitraryBytesDoNotThrow(
            @ForAll byte[] bytes, @ForAll @IntRange(min = 15, max = 26) int kind) {
        ByteBuf b = Unpooled.buffer().writeByte(PeerCodec.FORMAT).writeByte(kind).writeBytes(bytes);
        PeerCodec.read(b);
        assertThat(b.refCnt()).isEqualTo(1);
    }

    @Test
    void messagesLargerThanADatagramAreNotWritten() {
        List<TargetEntry> many = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            many.add(new TargetEntry("i-" + i, "pool", "10.1.0.40:8001", "hall-a", 12, false, 0));
        }
        TargetListDelta delta =
                TargetListDelta.between(
                        List.of(), TargetListDelta.Snapshot.of(many), 1, StorePosition.of(0, 1));
        assertThat(PeerCodec.write(new PeerMessage.Targets(delta)).isPresent()).isFalse();
    }

    /** Guards the network cost of observations: routers send eight such messages a second. */
    @Test
    void observationsHaveTheExpectedSize() {
        List<LoadReading> loads = new ArrayList<>();
        for (int i = 0; i < LoadGossip.MAX_READINGS; i++) {
            loads.add(new LoadReading(i, 12, 3, OptionalInt.of(100), 500));
        }
        List<PromptHolder> facts = new ArrayList<>();
        for (int i = 0; i < PromptHolder.MAX_PER_MESSAGE; i++) {
            facts.add(new PromptHolder(i, i));
        }
        List<CrashEvent> crashes = new ArrayList<>();
        for (int i = 0; i < CrashEvent.MAX_PER_MESSAGE; i++) {
            crashes.add(new CrashEvent(i, i));
        }
        List<Integer> leaving = new ArrayList<>();
        for (int i = 0; i < TargetSignals.MAX_LEAVING; i++) {
            leaving.add(i);
        }
        assertThat(bytes(loads, List.of(), List.of(), List.of())).isEqualTo(490);
        assertThat(bytes(loads, facts, List.of(), List.of())).isEqualTo(970);
        assertThat(bytes(loads, facts, crashes, List.of())).isEqualTo(1_330);
        assertThat(bytes(loads, facts, crashes, leaving)).isEqualTo(1_394);
    }

    /** Guards the network cost of placements: three messages for each request to empty engines. */
    @Test
    void placementsFitIntoEightyBytes() {
        for (PeerMessage m : List.of(PLACE_PROMPT, PLACEMENT_ANSWER, PROMPT_PLACED)) {
            assertThat(written(m).readableBytes()).isAtMost(80);
        }
    }

    private static int bytes(
            List<LoadReading> loads,
            List<PromptHolder> facts,
            List<CrashEvent> crashes,
            List<Integer> leaving) {
        return written(new PeerMessage.Observations(loads, facts, crashes, leaving))
                .readableBytes();
    }
}
