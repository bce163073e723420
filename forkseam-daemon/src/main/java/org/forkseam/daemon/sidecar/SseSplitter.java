package org.forkseam.daemon.sidecar;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into server-sent events, each including its terminating blank line. Not
 * thread-safe.
 */
final class SseSplitter {
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream mPartialEvent = new ByteArrayOutputStream();
    private boolean mAfterNewline;

    /** Appends bytes and returns the events that they complete. */
    List<byte[]> feed(byte[] data) {
        List<byte[]> events = new ArrayList<>(1);
        int start = 0;
        for (int i = 0; i < data.length; i++) {
            byte b = data[i];
            if (b == '\n' && mAfterNewline) {
                mPartialEvent.write(data, start, i + 1 - start);
                events.add(mPartialEvent.toByteArray());
                mPartialEvent.reset();
                start = i + 1;
                mAfterNewline = false;
            } else if (b != '\r') {
                mAfterNewline = b == '\n';
            }
        }
        mPartialEvent.write(data, start, data.length - start);
        if (mPartialEvent.size() > MAX_EVENT_BYTES) {
            events.add(remainder());
        }
        return events;
    }

    /** Returns and clears the bytes after the last complete event. */
    byte[] remainder() {
        byte[] remainder = mPartialEvent.toByteArray();
        mPartialEvent.reset();
        return remainder;
    }
}
