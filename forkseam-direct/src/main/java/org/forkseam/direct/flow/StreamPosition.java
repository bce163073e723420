package org.forkseam.direct.flow;

import org.forkseam.direct.io.EventScanner;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Position up to which the events of a stream were forwarded to the caller, over all attempts. Used
 * on the event loop.
 *
 * <p>The position is the id of the last event that has one, and the events without id after it: a
 * target that continues the stream sends those again.
 */
final class StreamPosition {
    /** With more bytes of events without id, the stream cannot be continued. */
    static final int MAX_UNIDENTIFIED_BYTES = 64 << 10;

    private final List<byte[]> mUnidentified = new ArrayList<>();
    private final EventHistory mHistory = new EventHistory();
    private final EventNumbering mNumbering = new EventNumbering();
    private Optional<String> mLastEventId;
    private int mUnidentifiedBytes;

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

    /** Returns the events with an id that were forwarded, except in earlier responses. */
    EventHistory history() {
        return mHistory;
    }

    /** Returns the number of the next event; empty if the ids do not count the events. */
    OptionalLong nextNumber() {
        return mNumbering.next();
    }

    /** Returns whether so many ids count the events that others of the stream have to. */
    boolean isCounted() {
        return mNumbering.isEstablished();
    }

    /** Returns whether a lower number means an older event. */
    boolean isOrderedByNumbers() {
        return !mNumbering.hasFallen();
    }

    /** Returns the events without id that were forwarded after the last one with an id. */
    List<byte[]> unidentified() {
        return mUnidentified;
    }

    /** Returns the memory of what is kept of forwarded events. */
    long keptBytes() {
        return mUnidentifiedBytes + mHistory.keptBytes();
    }

    /**
     * Returns whether another target can continue the stream. Without an id, it starts from the
     * beginning and has to send the same events again.
     */
    boolean isResumable() {
        return mUnidentifiedBytes <= MAX_UNIDENTIFIED_BYTES;
    }

    /**
     * Records that complete events were forwarded. Returns whether one has data or an id, unlike
     * comments.
     */
    boolean onForwarded(byte[] events) {
        boolean moved = false;
        EventScanner s = EventScanner.of(events);
        while (s.next()) {
            Optional<String> id = s.id();
            moved |= id.isPresent() || s.hasData();
            if (id.isPresent()) {
                mHistory.add(id.get(), s.dataHash());
                mNumbering.onId(id.get());
                mLastEventId = id;
                mUnidentified.clear();
                mUnidentifiedBytes = 0;
            } else if (s.hasData()) {
                mNumbering.onUnidentified();
                addUnidentified(events, s);
            }
        }
        return moved;
    }

    private void addUnidentified(byte[] events, EventScanner s) {
        if (mUnidentifiedBytes > MAX_UNIDENTIFIED_BYTES) {
            return;
        }
        mUnidentifiedBytes += s.end() - s.start();
        if (mUnidentifiedBytes > MAX_UNIDENTIFIED_BYTES) {
            mUnidentified.clear();
            return;
        }
        mUnidentified.add(Arrays.copyOfRange(events, s.start(), s.end()));
    }
}
