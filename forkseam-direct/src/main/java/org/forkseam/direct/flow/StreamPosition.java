package org.forkseam.direct.flow;

import org.forkseam.direct.io.EventScanner;

import java.util.Optional;

/**
 * Position up to which the events of a stream were forwarded to the caller, over all attempts. Used
 * on the event loop.
 */
final class StreamPosition {
    private Optional<String> mLastEventId;

    private StreamPosition(Optional<String> lastEventId) {
        mLastEventId = lastEventId;
    }

    /** Creates the position of a stream of which the caller has the events up to the given id. */
    static StreamPosition after(Optional<String> lastEventId) {
        return new StreamPosition(lastEventId);
    }

    /** Returns the id of the last forwarded event that has one. */
    Optional<String> lastEventId() {
        return mLastEventId;
    }

    /** Returns whether another target can continue the stream. */
    boolean isResumable() {
        return mLastEventId.isPresent();
    }

    /** Records that complete events were forwarded. */
    void onForwarded(byte[] events) {
        EventScanner s = EventScanner.of(events);
        while (s.next()) {
            s.id().ifPresent(id -> mLastEventId = Optional.of(id));
        }
    }
}
