package org.forkseam.direct.flow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the memory of all responses that are buffered until they, or their next event, are
 * complete. Above the bound, the largest one is ended. Used on the event loop.
 */
final class BufferedResponses {
    /** Smaller responses are not tracked. */
    static final int MIN_TRACKED_BYTES = 64 << 10;

    /** A router with a heap of 128 MB then holds two responses of the greatest size. */
    private static final double HEAP_SHARE = 0.25;

    private final long mMaxBytes;
    private final Map<Holder, Integer> mTracked = new HashMap<>();
    private long mTotalBytes;

    /** An attempt that buffers a response. */
    interface Holder {
        /** Called when the attempt has to end because of its size. */
        void onResponseTooLarge(String detail);
    }

    private BufferedResponses(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Creates a bound of the given number of bytes. */
    static BufferedResponses of(long maxBytes) {
        return new BufferedResponses(maxBytes);
    }

    /** Creates a bound that suits the heap of this process. */
    static BufferedResponses forHeap() {
        return of((long) (HEAP_SHARE * Runtime.getRuntime().maxMemory()));
    }

    /** Records how many bytes a holder has; may end this or another one. */
    void onBuffered(Holder h, int bytes) {
        release(h);
        if (bytes < MIN_TRACKED_BYTES) {
            return;
        }
        mTracked.put(h, bytes);
        mTotalBytes += bytes;
        while (mTotalBytes > mMaxBytes) {
            endLargest();
        }
    }

    private void endLargest() {
        Holder largest =
                mTracked.entrySet().stream()
                        .max(Comparator.comparingInt(Map.Entry::getValue))
                        .orElseThrow()
                        .getKey();
        release(largest);
        largest.onResponseTooLarge("all buffered responses exceed byte limit " + mMaxBytes);
    }

    /** Removes a holder that has no more bytes. */
    void release(Holder h) {
        Integer bytes = mTracked.remove(h);
        mTotalBytes -= bytes == null ? 0 : bytes;
    }

    /** Returns the number of bytes held by tracked responses. */
    long totalBytes() {
        return mTotalBytes;
    }
}
