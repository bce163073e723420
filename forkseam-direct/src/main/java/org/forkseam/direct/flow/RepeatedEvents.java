package org.forkseam.direct.flow;

import org.forkseam.direct.io.EventScanner;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Removes from the response to one attempt the events that the caller has received from earlier
 * attempts. Used on the event loop.
 *
 * <p>A target that continues a stream sends all events after the last id again, also those without
 * an id that were forwarded already.
 */
final class RepeatedEvents {
    private final List<byte[]> mExpected;

    private RepeatedEvents(StreamPosition position) {
        mExpected = new ArrayList<>(position.unidentified());
    }

    /** Creates a filter for an attempt that continues at the given position. */
    static RepeatedEvents after(StreamPosition position) {
        return new RepeatedEvents(position);
    }

    /** Returns the events that the caller has not received. */
    byte[] remove(byte[] events) {
        if (mExpected.isEmpty()) {
            return events;
        }
        ByteArrayOutputStream rest = new ByteArrayOutputStream(events.length);
        EventScanner s = EventScanner.of(events);
        while (s.next()) {
            if (!isRepeated(events, s)) {
                rest.write(events, s.start(), s.end() - s.start());
            }
        }
        return rest.toByteArray();
    }

    private boolean isRepeated(byte[] events, EventScanner s) {
        if (s.id().isPresent()) {
            mExpected.clear();
            return false;
        }
        if (!s.hasData()) {
            return false;
        }
        return skipExpected(Arrays.copyOfRange(events, s.start(), s.end()));
    }

    /** Removes an expected event and those before it; returns false if there is none like it. */
    private boolean skipExpected(byte[] event) {
        int skipped = 0;
        for (byte[] expected : mExpected) {
            skipped++;
            if (Arrays.equals(expected, event)) {
                mExpected.subList(0, skipped).clear();
                return true;
            }
        }
        return false;
    }
}
