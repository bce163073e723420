package org.forkseam.direct.know;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import org.forkseam.core.crash.CrashEvent;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.share.LoadReading;
import org.forkseam.core.share.PromptHolder;
import org.forkseam.core.share.StreamOrigin;
import org.forkseam.core.share.TargetListDelta;
import org.forkseam.core.store.StorePosition;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and decodes the datagrams that routers exchange. Stateless.
 *
 * <p>Messages longer than {@link #MAX_BYTES} are not encoded; the sender then only announces that
 * there is something to read.
 */
final class PeerCodec {
    /** Fits into one packet at an MTU of 1,500 bytes. */
    static final int MAX_BYTES = 1_400;

    /** First byte of a datagram: version of the format. */
    static final int FORMAT = 9;

    // Message kinds; lower numbers are the kinds of PeerNotice.
    private static final int TARGETS = 16;
    private static final int ROWS = 17;
    private static final int OBSERVATIONS = 18;
    private static final int OPERATORS = 19;
    private static final int CONFIG = 20;
    private static final int STREAM_ORIGINS = 21;
    private static final int STREAM_QUERY = 22;
    private static final int PLACE_PROMPT = 23;
    private static final int PLACEMENT_ANSWER = 24;
    private static final int PROMPT_PLACED = 25;
    private static final int RECORD_STREAMS = 26;
    private static final int STREAMS_RECORDED = 27;

    private PeerCodec() {}

    /** Encodes a message; returns empty if it is too long. */
    static Optional<ByteBuf> write(PeerMessage m) {
        ByteBuf b;
        if (m instanceof PeerNotice n) {
            b = n.write();
        } else if (m instanceof PeerMessage.Operators o) {
            b = writeOperators(o);
        } else if (m instanceof PeerMessage.Config c) {
            b = ConfigCodec.write(newMessage(CONFIG), c.change());
        } else if (m instanceof PeerMessage.Targets t) {
            b = writeTargets(t.delta());
        } else if (m instanceof PeerMessage.Rows r) {
            b = writeRows(r);
        } else if (m instanceof PeerMessage.StreamOrigins s) {
            b = writeOrigins(STREAM_ORIGINS, s.origins());
        } else if (m instanceof PeerMessage.RecordStreams r) {
            b = writeOrigins(RECORD_STREAMS, r.origins());
        } else if (m instanceof PeerMessage.StreamsRecorded r) {
            b = newMessage(STREAMS_RECORDED).writeShort(r.streams().size());
            r.streams().forEach(b::writeLong);
        } else if (m instanceof PeerMessage.StreamQuery q) {
            b = newMessage(STREAM_QUERY).writeLong(q.stream());
            StringCodec.write(b, q.pool());
        } else if (m instanceof PeerMessage.PlacePrompt p) {
            b = PlacementCodec.write(newMessage(PLACE_PROMPT), p.query());
        } else if (m instanceof PeerMessage.PlacementAnswer a) {
            b = PlacementCodec.write(newMessage(PLACEMENT_ANSWER), a.reply());
        } else if (m instanceof PeerMessage.PromptPlaced p) {
            b = PlacementCodec.write(newMessage(PROMPT_PLACED), p.done());
        } else {
            b = writeObservations((PeerMessage.Observations) m);
        }
        return b.readableBytes() <= MAX_BYTES ? Optional.of(b) : Optional.empty();
    }

    /** Decodes a message; returns empty if it is malformed or of an unknown format. */
    static Optional<PeerMessage> read(ByteBuf b) {
        if (b.readableBytes() < 2 || b.getByte(b.readerIndex()) != FORMAT) {
            return Optional.empty();
        }
        int kind = b.getByte(b.readerIndex() + 1);
        try {
            Optional<PeerMessage> m = read(kind, b);
            return b.isReadable() ? Optional.empty() : m;
        } catch (IndexOutOfBoundsException e) {
            Event.of("peer_message").with("kind", kind).with("cause", "truncated").log();
            return Optional.empty();
        }
    }

    private static Optional<PeerMessage> read(int kind, ByteBuf b) {
        return switch (kind) {
            case OPERATORS -> Optional.of(readOperators(b.skipBytes(2)));
            case CONFIG -> Optional.of(new PeerMessage.Config(ConfigCodec.read(b.skipBytes(2))));
            case TARGETS -> Optional.of(readTargets(b.skipBytes(2)));
            case ROWS -> Optional.of(readRows(b.skipBytes(2)));
            case OBSERVATIONS -> Optional.of(readObservations(b.skipBytes(2)));
            case STREAM_ORIGINS ->
                    Optional.of(new PeerMessage.StreamOrigins(readOrigins(b.skipBytes(2))));
            case RECORD_STREAMS ->
                    Optional.of(new PeerMessage.RecordStreams(readOrigins(b.skipBytes(2))));
            case STREAMS_RECORDED -> Optional.of(readStreamsRecorded(b.skipBytes(2)));
            case STREAM_QUERY -> {
                b.skipBytes(2);
                yield Optional.of(new PeerMessage.StreamQuery(b.readLong(), StringCodec.read(b)));
            }
            case PLACE_PROMPT ->
                    Optional.of(
                            new PeerMessage.PlacePrompt(PlacementCodec.readQuery(b.skipBytes(2))));
            case PLACEMENT_ANSWER ->
                    Optional.of(
                            new PeerMessage.PlacementAnswer(
                                    PlacementCodec.readReply(b.skipBytes(2))));
            case PROMPT_PLACED ->
                    Optional.of(
                            new PeerMessage.PromptPlaced(PlacementCodec.readDone(b.skipBytes(2))));
            default -> PeerNotice.read(b).map(n -> n);
        };
    }

    private static ByteBuf newMessage(int kind) {
        return Unpooled.buffer().writeByte(FORMAT).writeByte(kind);
    }

    private static void write(ByteBuf b, StorePosition p) {
        b.writeInt(p.era()).writeLong(p.revision());
    }

    private static StorePosition readPosition(ByteBuf b) {
        return StorePosition.of(b.readInt(), b.readLong());
    }

    // ---------------------------------------------------------------- operators

    private static ByteBuf writeOperators(PeerMessage.Operators o) {
        ByteBuf b = newMessage(OPERATORS);
        b.writeLong(o.readAt());
        write(b, o.position());
        b.writeLong(o.version()).writeLong(o.fingerprint());
        StringCodec.writeAll(b, o.evacuated());
        return b;
    }

    private static PeerMessage readOperators(ByteBuf b) {
        return new PeerMessage.Operators(
                b.readLong(), readPosition(b), b.readLong(), b.readLong(), StringCodec.readAll(b));
    }

    // ---------------------------------------------------------------- targets

    private static ByteBuf writeTargets(TargetListDelta delta) {
        ByteBuf b = newMessage(TARGETS);
        b.writeLong(delta.readAt());
        write(b, delta.position());
        b.writeLong(delta.resultFingerprint());
        b.writeShort(delta.remainingSteps());
        b.writeShort(delta.changed().size());
        for (TargetEntry e : delta.changed()) {
            StringCodec.write(b, e.id());
            StringCodec.write(b, e.pool());
            StringCodec.write(b, e.address());
            StringCodec.write(b, e.domain());
            b.writeInt(e.slots()).writeBoolean(e.leaving()).writeLong(e.coldMillis());
            b.writeLong(e.born());
            StringCodec.write(b, e.version());
        }
        StringCodec.writeAll(b, delta.removed());
        return b;
    }

    private static PeerMessage readTargets(ByteBuf b) {
        long readAt = b.readLong();
        StorePosition position = readPosition(b);
        long resultFingerprint = b.readLong();
        int remainingSteps = b.readUnsignedShort();
        List<TargetEntry> changed = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            changed.add(
                    new TargetEntry(
                            StringCodec.read(b),
                            StringCodec.read(b),
                            StringCodec.read(b),
                            StringCodec.read(b),
                            b.readInt(),
                            b.readBoolean(),
                            b.readLong(),
                            b.readLong(),
                            StringCodec.read(b)));
        }
        return new PeerMessage.Targets(
                new TargetListDelta(
                        readAt,
                        position,
                        resultFingerprint,
                        remainingSteps,
                        changed,
                        StringCodec.readAll(b)));
    }

    // ---------------------------------------------------------------- rows

    private static ByteBuf writeRows(PeerMessage.Rows r) {
        ByteBuf b = newMessage(ROWS);
        b.writeLong(r.readAt());
        write(b, r.since());
        write(b, r.until());
        b.writeBoolean(r.complete());
        b.writeShort(r.rows().size());
        for (SharedRow row : r.rows()) {
            StringCodec.write(b, row.key());
            StringCodec.write(b, row.value());
            write(b, row.position());
        }
        return b;
    }

    private static PeerMessage readRows(ByteBuf b) {
        long readAt = b.readLong();
        StorePosition since = readPosition(b);
        StorePosition until = readPosition(b);
        boolean complete = b.readBoolean();
        List<SharedRow> rows = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            rows.add(new SharedRow(StringCodec.read(b), StringCodec.read(b), readPosition(b)));
        }
        return new PeerMessage.Rows(readAt, since, until, complete, rows);
    }

    // ---------------------------------------------------------------- streams

    private static ByteBuf writeOrigins(int kind, List<StreamOrigin> origins) {
        ByteBuf b = newMessage(kind).writeShort(origins.size());
        origins.forEach(o -> b.writeLong(o.stream()).writeLong(o.software()));
        return b;
    }

    private static List<StreamOrigin> readOrigins(ByteBuf b) {
        List<StreamOrigin> origins = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            origins.add(new StreamOrigin(b.readLong(), b.readLong()));
        }
        return origins;
    }

    private static PeerMessage readStreamsRecorded(ByteBuf b) {
        List<Long> streams = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            streams.add(b.readLong());
        }
        return new PeerMessage.StreamsRecorded(streams);
    }

    // ---------------------------------------------------------------- observations

    private static ByteBuf writeObservations(PeerMessage.Observations o) {
        ByteBuf b = newMessage(OBSERVATIONS);
        b.writeShort(o.loads().size());
        for (LoadReading r : o.loads()) {
            b.writeLong(r.toBits());
        }
        b.writeShort(o.holders().size());
        for (PromptHolder h : o.holders()) {
            b.writeLong(h.key()).writeInt(h.target());
        }
        b.writeShort(o.crashes().size());
        for (CrashEvent c : o.crashes()) {
            b.writeLong(c.fingerprint()).writeInt(c.crashId());
        }
        b.writeShort(o.leaving().size());
        o.leaving().forEach(b::writeInt);
        return b;
    }

    private static PeerMessage readObservations(ByteBuf b) {
        List<LoadReading> loads = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            loads.add(LoadReading.ofBits(b.readLong()));
        }
        List<PromptHolder> holders = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            holders.add(new PromptHolder(b.readLong(), b.readInt()));
        }
        List<CrashEvent> crashes = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            crashes.add(new CrashEvent(b.readLong(), b.readInt()));
        }
        List<Integer> leaving = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            leaving.add(b.readInt());
        }
        return new PeerMessage.Observations(loads, holders, crashes, leaving);
    }
}
