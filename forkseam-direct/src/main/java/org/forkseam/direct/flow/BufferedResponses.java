package org.forkseam.direct.flow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the memory of all responses that are buffered until they, or their next event, are
 * complete. Above the bound, the largest one is ended. Used on the event loop.
 */
final class BufferedResponses {
    /** A quarter of the heap that {@code deploy/system.toml} gives to a router. */
    static final long MAX_TOTAL_BYTES = 32 << 20;

    /** Smaller responses are not tracked. */
    private static final int MIN_TRACKED_BYTES = 64 << 10;

    private final Map<Attempt, Integer> mTracked = new HashMap<>();
    private long mTotal;
    private long mPeak;

    /** Records how many bytes an attempt holds; may end this or another attempt. */
    void onBuffered(Attempt a, int bytes) {
        if (bytes < MIN_TRACKED_BYTES) {
            release(a);
            return;
        }
        Integer before = mTracked.put(a, bytes);
        mTotal += bytes - (before == null ? 0 : before);
        mPeak = Math.max(mPeak, mTotal);
        while (mTotal > MAX_TOTAL_BYTES) {
            endLargest();
        }
    }

    private void endLargest() {
        Attempt largest =
                mTracked.entrySet().stream()
                        .max(Comparator.comparingInt(Map.Entry::getValue))
                        .orElseThrow()
                        .getKey();
        release(largest);
        largest.abortMalformed("buffered responses exceed byte limit " + MAX_TOTAL_BYTES);
    }

    /** Removes an attempt that holds no more bytes. */
    void release(Attempt a) {
        Integer bytes = mTracked.remove(a);
        mTotal -= bytes == null ? 0 : bytes;
    }

    /** Returns the largest number of bytes held so far. */
    long peakBytes() {
        return mPeak;
    }
}
