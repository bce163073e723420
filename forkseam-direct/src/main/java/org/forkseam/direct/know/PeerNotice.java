package org.forkseam.direct.know;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import java.util.Optional;

/**
 * Tells other routers what one has just read from the store, in a datagram. Whoever knows the same
 * need not read it again; whoever does not reads at once.
 *
 * @param kind what was read
 * @param readAt the store's own steady clock when it was read, in milliseconds
 * @param fingerprint the configuration's version, or a hash of the list of targets
 */
record PeerNotice(Kind kind, long readAt, long fingerprint) implements PeerMessage {
    /** First byte of a datagram; another stands for another format. */
    private static final int FORMAT = 1;

    private static final int BYTES = 2 + 2 * Long.BYTES;

    /** Says what was read. */
    enum Kind {
        /** The configuration. */
        CONFIG,
        /** The list of targets. */
        LIST
    }

    ByteBuf write() {
        return Unpooled.buffer(BYTES)
                .writeByte(FORMAT)
                .writeByte(kind.ordinal())
                .writeLong(readAt)
                .writeLong(fingerprint);
    }

    /** Reads a datagram; empty if it is not of this format. */
    static Optional<PeerNotice> read(ByteBuf b) {
        if (b.readableBytes() != BYTES || b.readByte() != FORMAT) {
            return Optional.empty();
        }
        int kind = b.readByte();
        if (kind < 0 || kind >= Kind.values().length) {
            return Optional.empty();
        }
        return Optional.of(new PeerNotice(Kind.values()[kind], b.readLong(), b.readLong()));
    }
}
