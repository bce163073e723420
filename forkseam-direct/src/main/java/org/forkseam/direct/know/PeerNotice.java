package org.forkseam.direct.know;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTimestamp;

import java.util.Arrays;
import java.util.Optional;

/**
 * Announces what a router has just read from the store. Receivers with the same state skip their
 * own read; others read at once. Immutable.
 *
 * @param kind kind of data
 * @param readAt time of the read
 * @param fingerprint hash of the data
 */
record PeerNotice(Kind kind, StoreTimestamp readAt, long fingerprint) implements PeerMessage {
    private static final int BYTES = 2 + Integer.BYTES + 2 * Long.BYTES;

    /** Kind of data that was read. */
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

    /** Decodes a datagram; returns empty if it is of another format. */
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
