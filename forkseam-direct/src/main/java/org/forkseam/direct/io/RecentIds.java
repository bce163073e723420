package org.forkseam.direct.io;

import org.forkseam.core.util.Hashes;

import java.util.Arrays;

/**
 * Hashes of the ids of the last requests on a connection. Two ids of equal hash only cost the use
 * of another connection. Used on the event loop.
 */
final class RecentIds {
    /** Number of ids that are remembered, which bounds the memory of a connection to 2 KB. */
    static final int CAPACITY = 256;

    private static final int INITIAL_CAPACITY = 4;

    private long[] mHashes = new long[INITIAL_CAPACITY];
    private int mCount;
    private int mNext;

    /** Adds an id; the oldest one is forgotten once there are more than {@link #CAPACITY}. */
    void add(String id) {
        if (mNext == mHashes.length && mNext < CAPACITY) {
            mHashes = Arrays.copyOf(mHashes, Math.min(2 * mNext, CAPACITY));
        }
        mNext = mNext == CAPACITY ? 0 : mNext;
        mHashes[mNext++] = Hashes.of(id);
        mCount = Math.max(mCount, mNext);
    }

    boolean contains(String id) {
        long hash = Hashes.of(id);
        for (int i = 0; i < mCount; i++) {
            if (mHashes[i] == hash) {
                return true;
            }
        }
        return false;
    }
}
