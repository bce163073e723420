package org.forkseam.direct.flow;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the memory of all large request bodies, from the arrival of their head until their
 * response. Bodies beyond the bound wait unread, in order of arrival. Used on the event loop.
 */
final class RequestBodies {
    /** Smaller bodies are neither bounded nor counted. */
    static final int MIN_TRACKED_BYTES = 64 << 10;

    /** Leaves room for buffered responses, which may take a quarter, and for the rest. */
    private static final double HEAP_SHARE = 0.375;

    private final long mMaxBytes;
    private final Deque<Reservation> mWaiting = new ArrayDeque<>();
    private long mTotalBytes;

    private RequestBodies(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Creates a bound of the given number of bytes. */
    static RequestBodies of(long maxBytes) {
        return new RequestBodies(maxBytes);
    }

    /** Creates a bound that suits the heap of this process. */
    static RequestBodies forHeap() {
        return of((long) (HEAP_SHARE * Runtime.getRuntime().maxMemory()));
    }

    /**
     * Reserves memory for a body.
     *
     * @param onAdmitted runs when the body may be read, possibly before this method returns
     */
    Reservation reserve(long bytes, Runnable onAdmitted) {
        Reservation r = new Reservation(bytes, onAdmitted);
        mWaiting.add(r);
        admit();
        return r;
    }

    /** Returns the number of bytes reserved for admitted bodies. */
    long totalBytes() {
        return mTotalBytes;
    }

    private void admit() {
        while (!mWaiting.isEmpty() && hasRoom(mWaiting.peek())) {
            Reservation r = mWaiting.poll();
            mTotalBytes += r.mBytes;
            r.mAdmitted = true;
            r.mOnAdmitted.run();
        }
    }

    /** Returns whether a body may be read; one that exceeds the bound is read alone. */
    private boolean hasRoom(Reservation r) {
        return mTotalBytes == 0 || mTotalBytes + r.mBytes <= mMaxBytes;
    }

    /** Memory for one body. */
    final class Reservation {
        private final long mBytes;
        private final Runnable mOnAdmitted;
        private boolean mAdmitted;
        private boolean mReleased;

        private Reservation(long bytes, Runnable onAdmitted) {
            mBytes = bytes;
            mOnAdmitted = onAdmitted;
        }

        /** Returns whether the body may be read. */
        boolean isAdmitted() {
            return mAdmitted;
        }

        /** Gives the memory back, or leaves the queue. Further calls have no effect. */
        void release() {
            if (mReleased) {
                return;
            }
            mReleased = true;
            if (mAdmitted) {
                mTotalBytes -= mBytes;
            } else {
                mWaiting.remove(this);
            }
            admit();
        }
    }
}
