package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

import java.util.Arrays;

/**
 * Splits a stream of server-sent events at event boundaries. Used on the event loop.
 *
 * <p>Bytes of an incomplete event are held back, so that an interrupted stream can be resumed after
 * the last complete event.
 *
 * @since 0.2
 */
public final class EventSplitter {
    private static final byte[] EMPTY = new byte[0];

    private byte[] mBuffer = EMPTY;
    private int mLength;
    private int mScanned;

    private EventSplitter() {}

    /** Creates a splitter for a new stream. */
    public static EventSplitter create() {
        return new EventSplitter();
    }

    /** Adds received bytes. */
    public void add(ByteBuf bytes) {
        int n = bytes.readableBytes();
        if (mLength == 0) {
            mBuffer = ByteBufUtil.getBytes(bytes);
        } else {
            reserve(mLength + n);
            bytes.getBytes(bytes.readerIndex(), mBuffer, mLength, n);
        }
        mLength += n;
    }

    /** Doubles the capacity, since copying on each read takes seconds for streams of megabytes. */
    private void reserve(int capacity) {
        if (mBuffer.length < capacity) {
            mBuffer = Arrays.copyOf(mBuffer, Math.max(capacity, 2 * mBuffer.length));
        }
    }

    /** Returns the memory of the bytes held. */
    public int keptBytes() {
        return mLength == 0 ? 0 : mBuffer.length;
    }

    /** Returns the number of bytes held. */
    public int bufferedBytes() {
        return mLength;
    }

    /** Returns the complete events received since the last call; may be empty. */
    public byte[] takeCompleteEvents() {
        int end = endOfLastEvent();
        if (end == 0) {
            mScanned = mLength;
            return EMPTY;
        }
        // Avoid another copy in the usual case of complete events only.
        byte[] taken = end == mBuffer.length ? mBuffer : Arrays.copyOf(mBuffer, end);
        mBuffer = end == mLength ? EMPTY : Arrays.copyOfRange(mBuffer, end, mLength);
        mLength -= end;
        mScanned = mLength;
        return taken;
    }

    /** Searches the bytes added since the last search for the end of an event. */
    private int endOfLastEvent() {
        byte[] b = mBuffer;
        for (int i = mLength - 1; i >= Math.max(1, mScanned); i--) {
            if (endsBlankLine(i)) {
                return i + 1;
            }
        }
        return 0;
    }

    /**
     * Returns whether the byte ends a blank line. Lines end with LF, CRLF or CR; a CR after an LF
     * belongs to a CRLF that is not complete.
     */
    private boolean endsBlankLine(int i) {
        byte[] b = mBuffer;
        if (b[i] == '\r') {
            return b[i - 1] == '\r';
        }
        if (b[i] != '\n') {
            return false;
        }
        return b[i - 1] == '\n' || b[i - 1] == '\r' && i > 1 && b[i - 2] == '\n';
    }

    /** Returns whether an incomplete event is buffered; blank lines are none. */
    public boolean hasPartialEvent() {
        for (int i = 0; i < mLength; i++) {
            if (mBuffer[i] != '\n' && mBuffer[i] != '\r') {
                return true;
            }
        }
        return false;
    }
}
