package org.forkseam.direct.io;

import org.forkseam.core.util.Hashes;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Iterates over the complete server-sent events in a byte array, whose lines end with LF, CRLF or
 * CR. Used on the event loop.
 *
 * @since 0.4
 */
public final class EventScanner {
    private static final byte[] ID = {'i', 'd', ':'};
    private static final int DELETE = 0x7f;

    /** Targets may limit the size of a request head. */
    private static final int MAX_ID_BYTES = 1_024;

    private static final byte[] DATA = {'d', 'a', 't', 'a'};

    private final byte[] mBytes;
    private int mStart;
    private int mEnd;
    private int mIdStart;
    private int mIdEnd;
    private boolean mHasData;
    private long mDataHash;

    private EventScanner(byte[] bytes) {
        mBytes = bytes;
    }

    /** Creates a scanner before the first event. */
    public static EventScanner of(byte[] events) {
        return new EventScanner(events);
    }

    /** Moves to the next event; returns false if there is none. */
    public boolean next() {
        mStart = mEnd;
        mIdStart = 0;
        mIdEnd = 0;
        mHasData = false;
        mDataHash = 0;
        while (mEnd < mBytes.length) {
            int start = mEnd;
            int end = endOfLine(start);
            mEnd = startOfNextLine(end);
            if (end == start) {
                return true;
            }
            onLine(start, end);
        }
        return mEnd > mStart;
    }

    private int endOfLine(int from) {
        int i = from;
        while (i < mBytes.length && mBytes[i] != '\n' && mBytes[i] != '\r') {
            i++;
        }
        return i;
    }

    private int startOfNextLine(int end) {
        boolean crLf = end + 1 < mBytes.length && mBytes[end] == '\r' && mBytes[end + 1] == '\n';
        return Math.min(end + (crLf ? 2 : 1), mBytes.length);
    }

    private void onLine(int start, int end) {
        if (startsWith(ID, start, end)) {
            mIdStart = start + ID.length;
            mIdEnd = end;
        } else if (startsWith(DATA, start, end)) {
            mHasData = true;
            mDataHash = Hashes.mix(mDataHash, Hashes.of(mBytes, start, end - start));
        }
    }

    private boolean startsWith(byte[] name, int start, int end) {
        if (end - start < name.length) {
            return false;
        }
        for (int i = 0; i < name.length; i++) {
            if (mBytes[start + i] != name[i]) {
                return false;
            }
        }
        return true;
    }

    /** Returns the index of the first byte of the event. */
    public int start() {
        return mStart;
    }

    /** Returns the index after the last byte of the event. */
    public int end() {
        return mEnd;
    }

    /** Returns whether the event has data, unlike a comment. */
    public boolean hasData() {
        return mHasData;
    }

    /** Returns a hash of the event's data; other fields may differ between runs of a stream. */
    public long dataHash() {
        return mDataHash;
    }

    /**
     * Returns the id of the event, a character for each byte as in header fields. An empty one
     * counts as missing, and so does one that no header field can hold.
     */
    public Optional<String> id() {
        int length = mIdEnd - mIdStart;
        if (length == 0 || length > MAX_ID_BYTES || hasControlCharacter(mIdStart, mIdEnd)) {
            return Optional.empty();
        }
        String id = new String(mBytes, mIdStart, length, StandardCharsets.ISO_8859_1).strip();
        return id.isEmpty() ? Optional.empty() : Optional.of(id);
    }

    private boolean hasControlCharacter(int start, int end) {
        for (int i = start; i < end; i++) {
            int b = mBytes[i] & 0xff;
            if (b < ' ' && b != '\t' || b == DELETE) {
                return true;
            }
        }
        return false;
    }
}
