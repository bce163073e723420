package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries and keeps the last event id. Used on
 * the event loop.
 *
 * <p>Bytes of an incomplete event are held back, so that an interrupted stream can be resumed after
 * the last complete event.
 *
 * @since 0.2
 */
public final class EventSplitter {
    private static final String ID = "id:";

    private static final byte[] EMPTY = new byte[0];

    private byte[] mBuffered = EMPTY;
    private byte[] mLastTaken = EMPTY;

    private EventSplitter() {}

    /** Creates a splitter for a new stream. */
    public static EventSplitter create() {
        return new EventSplitter();
    }

    /** Adds received bytes. */
    public void add(ByteBuf bytes) {
        byte[] b = ByteBufUtil.getBytes(bytes);
        mBuffered = mBuffered.length == 0 ? b : joined(mBuffered, b);
    }

    private static byte[] joined(byte[] a, byte[] b) {
        byte[] both = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, both, a.length, b.length);
        return both;
    }

    /** Returns the complete events received since the last call; may be empty. */
    public ByteBuf takeCompleteEvents() {
        int end = endOfLastEvent(mBuffered);
        if (end == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        // Avoid another copy in the usual case of complete events only.
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

    /** Returns whether an incomplete event is buffered. */
    public boolean hasPartialEvent() {
        return mBuffered.length > 0;
    }

    /** Returns the id of the last event returned by {@link #takeCompleteEvents}. */
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
