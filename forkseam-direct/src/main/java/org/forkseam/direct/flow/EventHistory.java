package org.forkseam.direct.flow;

import org.forkseam.core.util.Hashes;

import java.util.Arrays;

/**
 * Ids and data of the events of a stream that were forwarded to the caller. Used on the event loop.
 *
 * <p>Takes 16 bytes per event, up to {@value #MAX_EVENTS} events; of later ones only the last is
 * recorded, which a target that continues the stream may send again.
 */
final class EventHistory {
    /** With more events, a target that starts from the beginning is recognized by numbers only. */
    static final int MAX_EVENTS = 4_096;

    private static final int INITIAL_CAPACITY = 16;

    private long[] mIds = {};
    private long[] mData = {};
    private int mSize;
    private boolean mSharesIds;

    /** Records an event. */
    void add(String id, long dataHash) {
        if (mSize == MAX_EVENTS) {
            mSize--;
        }
        if (mSize == mIds.length) {
            int capacity = Math.max(INITIAL_CAPACITY, 2 * mSize);
            mIds = Arrays.copyOf(mIds, capacity);
            mData = Arrays.copyOf(mData, capacity);
        }
        long hash = Hashes.of(id);
        mSharesIds |= mSize > 0 && mIds[mSize - 1] == hash;
        mIds[mSize] = hash;
        mData[mSize] = dataHash;
        mSize++;
    }

    /** Returns the memory of the recorded events. */
    long keptBytes() {
        return 2L * Long.BYTES * mIds.length;
    }

    /** Returns the number of recorded events. */
    int size() {
        return mSize;
    }

    /** Returns whether successive events have had the same id. */
    boolean sharesIds() {
        return mSharesIds;
    }

    /** Returns whether one of the first {@code size} events has the given id. */
    boolean hasId(String id, int size) {
        long hash = Hashes.of(id);
        return Arrays.stream(mIds, 0, size).anyMatch(i -> i == hash);
    }

    /** Returns whether one of the first {@code size} events has the given id and data. */
    boolean hasEvent(String id, long dataHash, int size) {
        long hash = Hashes.of(id);
        for (int i = 0; i < size; i++) {
            if (mIds[i] == hash && mData[i] == dataHash) {
                return true;
            }
        }
        return false;
    }
}
