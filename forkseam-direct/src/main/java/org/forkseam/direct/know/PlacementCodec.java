package org.forkseam.direct.know;

import io.netty.buffer.ByteBuf;

import org.forkseam.core.place.PlacementDone;
import org.forkseam.core.place.PlacementQuery;
import org.forkseam.core.place.PlacementReply;

/** Encodes and decodes the placement of prompts in datagrams. Stateless. */
final class PlacementCodec {
    /** The slowdown is encoded in percent. */
    private static final double PERCENT = 100;

    private static final int MAX_SLOWDOWN = 65_535;

    private PlacementCodec() {}

    static ByteBuf write(ByteBuf b, PlacementQuery q) {
        b.writeLong(q.id());
        StringCodec.write(b, q.pool());
        return b.writeLong(q.key())
                .writeLong(q.headKey())
                .writeInt(q.headTokens())
                .writeInt(q.sharedTokens())
                .writeInt(q.promptTokens())
                .writeInt(q.home());
    }

    static PlacementQuery readQuery(ByteBuf b) {
        return new PlacementQuery(
                b.readLong(),
                StringCodec.read(b),
                b.readLong(),
                b.readLong(),
                b.readInt(),
                b.readInt(),
                b.readInt(),
                b.readInt());
    }

    static ByteBuf write(ByteBuf b, PlacementReply r) {
        return b.writeLong(r.id()).writeInt(r.engine()).writeInt(r.copySource());
    }

    static PlacementReply readReply(ByteBuf b) {
        return new PlacementReply(b.readLong(), b.readInt(), b.readInt());
    }

    static ByteBuf write(ByteBuf b, PlacementDone d) {
        long percent = Math.round(d.slowdown() * PERCENT);
        return b.writeLong(d.id())
                .writeInt(d.engine())
                .writeBoolean(d.ok())
                .writeShort((int) Math.min(MAX_SLOWDOWN, percent));
    }

    static PlacementDone readDone(ByteBuf b) {
        return new PlacementDone(
                b.readLong(), b.readInt(), b.readBoolean(), b.readUnsignedShort() / PERCENT);
    }
}
