package org.forkseam.core.admit;

import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Bounded queue of requests that wait for a target with room, ordered by priority and then by the
 * earliest objective. Not thread-safe.
 */
final class HoldQueue {
    private static final Comparator<Entry> ORDER =
            Comparator.<Entry>comparingInt(e -> e.request().priority())
                    .thenComparingLong(e -> e.request().objectiveMillis())
                    .thenComparingLong(Entry::arrival);

    private final int mLimit;
    private final TreeSet<Entry> mOrdered = new TreeSet<>(ORDER);
    private final Map<AdmissionRequest, Entry> mEntries = new IdentityHashMap<>();
    private long mArrivals;

    /** Queued request with its sequence number in order of arrival. */
    private record Entry(AdmissionRequest request, long arrival) {}

    HoldQueue(int limit) {
        mLimit = limit;
    }

    /** Adds a request unless it is queued already; returns false if the queue is full. */
    boolean add(AdmissionRequest r) {
        if (mEntries.containsKey(r)) {
            return true;
        }
        if (mEntries.size() >= mLimit) {
            return false;
        }
        Entry e = new Entry(r, mArrivals++);
        mEntries.put(r, e);
        mOrdered.add(e);
        return true;
    }

    /** Removes a request if it is queued. */
    void remove(AdmissionRequest r) {
        Entry e = mEntries.remove(r);
        if (e != null) {
            mOrdered.remove(e);
        }
    }

    /** Returns the queued requests in the order in which they begin. */
    List<AdmissionRequest> inOrder() {
        return mOrdered.stream().map(Entry::request).toList();
    }

    int size() {
        return mEntries.size();
    }
}
