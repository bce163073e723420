package org.forkseam.direct.know;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTimestamp;

import java.util.Arrays;
import java.util.Optional;

/**
 * Tells other routers what one has just read from the store, in a datagram. Whoever knows the same
 * need not read it again; whoever does not reads at once.
 *
 * @param kind what was read
 * @param readAt when it was read
 * @param fingerprint a hash of what was read
 */
record PeerNotice(Kind kind, StoreTimestamp readAt, long fingerprint) implements PeerMessage {
    private static final int BYTES = 2 + Integer.BYTES + 2 * Long.BYTES;

    /** Says what was read. */
    enum Kind {
        /** The list of targets. */
        LIST(1);

        private final int mCode;

        Kind(int code) {
            mCode = code;
        }

        private static Optional<Kind> of(int code) {
            return Arrays.stream(values()).filter(k -> k.mCode == code).findFirst();
        }
    }

    @Override
    public Optional<StorePosition> storePosition() {
        return Optional.of(StorePosition.of(readAt.era(), 0));
    }

    ByteBuf write() {
        return Unpooled.buffer(BYTES)
                .writeByte(PeerCodec.FORMAT)
                .writeByte(kind.mCode)
                .writeInt(readAt.era())
                .writeLong(readAt.millis())
                .writeLong(fingerprint);
    }

    /** Reads a datagram; empty if it is not of this format. */
    static Optional<PeerNotice> read(ByteBuf b) {
        if (b.readableBytes() != BYTES || b.readByte() != PeerCodec.FORMAT) {
            return Optional.empty();
        }
        return Kind.of(b.readByte())
                .map(
                        k ->
                                new PeerNotice(
                                        k,
                                        StoreTimestamp.of(b.readInt(), b.readLong()),
                                        b.readLong()));
    }
}
