package org.forkseam.daemon.sidecar;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Cuts a stream of bytes into server-sent events, each with its closing empty line. */
final class SseSplitter {
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream mPart = new ByteArrayOutputStream();
    private boolean mAfterNewline;

    /** Takes bytes in and returns the events that they complete. */
    List<byte[]> add(byte[] data) {
        List<byte[]> events = new ArrayList<>(1);
        int start = 0;
        for (int i = 0; i < data.length; i++) {
            byte b = data[i];
            if (b == '\n' && mAfterNewline) {
                mPart.write(data, start, i + 1 - start);
                events.add(mPart.toByteArray());
                mPart.reset();
                start = i + 1;
                mAfterNewline = false;
            } else if (b != '\r') {
                mAfterNewline = b == '\n';
            }
        }
        mPart.write(data, start, data.length - start);
        if (mPart.size() > MAX_EVENT_BYTES) {
            events.add(rest());
        }
        return events;
    }

    /** Returns what is left after the last whole event. */
    byte[] rest() {
        byte[] left = mPart.toByteArray();
        mPart.reset();
        return left;
    }
}
