package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at the events' borders, and remembers the last id passed.
 *
 * <p>Bytes of an event that is not whole are held back, so that a stream which breaks off can be
 * continued without a torn event. Used on the event loop.
 *
 * @since 0.2
 */
public final class EventSplitter {
    private static final String ID = "id:";

    private ByteBuf mHeld = Unpooled.buffer(0);
    private byte[] mLast = new byte[0];

    private EventSplitter() {}

    /** Creates a splitter at the beginning of a stream. */
    public static EventSplitter create() {
        return new EventSplitter();
    }

    /** Takes bytes in and returns those that end with the last whole event; maybe none. */
    public ByteBuf take(ByteBuf bytes) {
        ByteBuf all = bytes;
        if (mHeld.isReadable()) {
            all = Unpooled.copiedBuffer(mHeld, bytes);
        }
        int end = endOfLastEvent(all);
        ByteBuf whole = Unpooled.copiedBuffer(all.slice(all.readerIndex(), end));
        mHeld = Unpooled.copiedBuffer(all.slice(all.readerIndex() + end, rest(all, end)));
        remember(whole);
        return whole;
    }

    private static int rest(ByteBuf all, int end) {
        return all.readableBytes() - end;
    }

    private static int endOfLastEvent(ByteBuf b) {
        for (int i = b.readableBytes() - 1; i > 0; i--) {
            if (at(b, i) != '\n') {
                continue;
            }
            if (at(b, i - 1) == '\n') {
                return i + 1;
            }
            if (i > 2 && at(b, i - 1) == '\r' && at(b, i - 2) == '\n') {
                return i + 1;
            }
        }
        return 0;
    }

    private static byte at(ByteBuf b, int i) {
        return b.getByte(b.readerIndex() + i);
    }

    /** Keeps the events passed last; they are searched for an id only when one is asked for. */
    private void remember(ByteBuf whole) {
        if (whole.isReadable()) {
            mLast = ByteBufUtil.getBytes(whole);
        }
    }

    /** Returns whether bytes of an unfinished event are held back. */
    public boolean isHolding() {
        return mHeld.isReadable();
    }

    /** Returns the id of the last whole event passed. */
    public Optional<String> lastId() {
        String[] lines = new String(mLast, StandardCharsets.UTF_8).split("\r?\n");
        for (int i = lines.length - 1; i >= 0; i--) {
            if (lines[i].startsWith(ID)) {
                return Optional.of(lines[i].substring(ID.length()).strip());
            }
        }
        return Optional.empty();
    }
}
