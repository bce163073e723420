package org.forkseam.direct.flow;

import org.forkseam.direct.io.EventScanner;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Removes from the response to one attempt the events that the caller has received from earlier
 * attempts. Used on the event loop.
 *
 * <p>A target that continues a stream sends all events after the last id again, also those without
 * an id that were forwarded already. If no event had an id, the stream starts from the beginning,
 * and a target that sends other events than before does not continue it.
 */
final class RepeatedEvents {
    private final boolean mFromBeginning;
    private final List<byte[]> mExpected;

    private RepeatedEvents(StreamPosition position) {
        mFromBeginning = position.lastEventId().isEmpty();
        mExpected = new ArrayList<>(position.unidentified());
    }

    /** Creates a filter for an attempt that continues at the given position. */
    static RepeatedEvents after(StreamPosition position) {
        return new RepeatedEvents(position);
    }

    /**
     * Returns the events that the caller has not received; empty if the response does not continue
     * the stream.
     */
    Optional<byte[]> remove(byte[] events) {
        if (mExpected.isEmpty()) {
            return Optional.of(events);
        }
        ByteArrayOutputStream rest = new ByteArrayOutputStream(events.length);
        EventScanner s = EventScanner.of(events);
        while (s.next()) {
            byte[] event = Arrays.copyOfRange(events, s.start(), s.end());
            boolean repeated = s.hasData() && s.id().isEmpty() && skipExpected(event);
            if (!repeated && mFromBeginning && !mExpected.isEmpty() && s.hasData()) {
                return Optional.empty();
            }
            if (s.id().isPresent()) {
                mExpected.clear();
            }
            if (!repeated) {
                rest.writeBytes(event);
            }
        }
        return Optional.of(rest.toByteArray());
    }

    /** Returns whether a response that ends here has reached the caller's position. */
    boolean isPositionReached() {
        return !mFromBeginning || mExpected.isEmpty();
    }

    /** Removes an expected event and those before it; returns false if there is none like it. */
    private boolean skipExpected(byte[] event) {
        int candidates = mFromBeginning ? Math.min(1, mExpected.size()) : mExpected.size();
        for (int i = 0; i < candidates; i++) {
            if (Arrays.equals(mExpected.get(i), event)) {
                mExpected.subList(0, i + 1).clear();
                return true;
            }
        }
        return false;
    }
}
