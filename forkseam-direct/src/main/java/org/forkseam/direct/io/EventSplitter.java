package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
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

    private static final byte[] EMPTY = new byte[0];

    private byte[] mBuffered = EMPTY;
    private byte[] mLastTaken = EMPTY;

    private EventSplitter() {}

    /** Creates a splitter at the beginning of a stream. */
    public static EventSplitter create() {
        return new EventSplitter();
    }

    /** Takes bytes in. */
    public void add(ByteBuf bytes) {
        byte[] b = ByteBufUtil.getBytes(bytes);
        mBuffered = mBuffered.length == 0 ? b : joined(mBuffered, b);
    }

    private static byte[] joined(byte[] a, byte[] b) {
        byte[] both = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, both, a.length, b.length);
        return both;
    }

    /** Returns the whole events that have come since the last call; maybe none. */
    public ByteBuf takeCompleteEvents() {
        int end = endOfLastEvent(mBuffered);
        if (end == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        // Mostly all bytes are whole events: then they are passed on without another copy.
        mLastTaken = end == mBuffered.length ? mBuffered : Arrays.copyOf(mBuffered, end);
        mBuffered =
                end == mBuffered.length
                        ? EMPTY
                        : Arrays.copyOfRange(mBuffered, end, mBuffered.length);
        return Unpooled.wrappedBuffer(mLastTaken);
    }

    private static int endOfLastEvent(byte[] b) {
        for (int i = b.length - 1; i > 0; i--) {
            if (b[i] != '\n') {
                continue;
            }
            if (b[i - 1] == '\n') {
                return i + 1;
            }
            if (i > 2 && b[i - 1] == '\r' && b[i - 2] == '\n') {
                return i + 1;
            }
        }
        return 0;
    }

    /** Returns whether bytes of an unfinished event are held back. */
    public boolean hasPartialEvent() {
        return mBuffered.length > 0;
    }

    /** Returns the id of the last whole event passed. */
    public Optional<String> lastEventId() {
        String[] lines = new String(mLastTaken, StandardCharsets.UTF_8).split("\r?\n");
        for (int i = lines.length - 1; i >= 0; i--) {
            if (lines[i].startsWith(ID)) {
                return Optional.of(lines[i].substring(ID.length()).strip());
            }
        }
        return Optional.empty();
    }
}
