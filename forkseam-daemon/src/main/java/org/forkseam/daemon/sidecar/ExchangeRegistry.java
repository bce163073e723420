package org.forkseam.daemon.sidecar;

import org.forkseam.wire.proto.Submit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Indexes exchanges by attempt key and by request. Ended exchanges are retained for replay until
 * they expire or exceed a size limit. Not thread-safe; used on the event loop.
 */
final class ExchangeRegistry {
    private static final long RETENTION_MILLIS = 60_000;
    private static final long ORPHAN_TIMEOUT_MILLIS = 5_000;
    private static final long OVERHEAD_BYTES = 1_024L;

    private final int mMaxRetainedBytes;
    private final Map<String, Exchange> mByAttempt = new HashMap<>();
    private final Map<String, Exchange> mByRequest = new HashMap<>();
    private final Map<Exchange, Long> mRetainedUntil = new LinkedHashMap<>();
    private final Map<Exchange, Long> mOrphanDeadlines = new LinkedHashMap<>();
    private long mRetainedBytes;

    private ExchangeRegistry(int maxBytes) {
        mMaxRetainedBytes = maxBytes;
    }

    static ExchangeRegistry of(int maxBytes) {
        return new ExchangeRegistry(maxBytes);
    }

    void add(Exchange e) {
        mByAttempt.put(e.request().getAttemptKey(), e);
        mByRequest.put(requestKey(e.request()), e);
    }

    Optional<Exchange> findByAttempt(String attemptKey) {
        return Optional.ofNullable(mByAttempt.get(attemptKey));
    }

    /**
     * Finds an exchange by request id and content fingerprint, so that a reused id never returns
     * the response to a different request.
     */
    Optional<Exchange> findByRequest(String requestId, String fingerprint) {
        return Optional.ofNullable(mByRequest.get(requestId + "\n" + fingerprint));
    }

    private static String requestKey(Submit s) {
        return s.getRequestId() + "\n" + s.getFingerprint();
    }

    /** Schedules cancellation of a request without subscribers, unless it is unrepeatable. */
    void onOrphaned(Exchange e, long nowMillis) {
        if (!e.isEnded() && !e.request().getUnrepeatable()) {
            mOrphanDeadlines.put(e, nowMillis + ORPHAN_TIMEOUT_MILLIS);
        }
    }

    /**
     * Retains an ended exchange for {@link #RETENTION_MILLIS} and evicts the oldest ones over the
     * size limit.
     */
    void onEnded(Exchange e, long nowMillis) {
        if (e.state() != Exchange.State.WHOLE && e.startedMillis() == 0) {
            remove(e);
            return;
        }
        mRetainedUntil.put(e, nowMillis + RETENTION_MILLIS);
        mRetainedBytes += sizeInBytes(e);
        Iterator<Exchange> candidates = mRetainedUntil.keySet().iterator();
        while (mRetainedBytes > mMaxRetainedBytes && candidates.hasNext()) {
            Exchange evicted = candidates.next();
            if (evicted.subscribers().isEmpty()) {
                candidates.remove();
                mRetainedBytes -= sizeInBytes(evicted);
                remove(evicted);
            }
        }
    }

    /** Evicts expired exchanges, and returns the orphaned requests to cancel. */
    List<Exchange> expire(long nowMillis) {
        for (Iterator<Map.Entry<Exchange, Long>> i = mRetainedUntil.entrySet().iterator();
                i.hasNext(); ) {
            Map.Entry<Exchange, Long> e = i.next();
            if (e.getValue() > nowMillis) {
                break;
            }
            i.remove();
            mRetainedBytes -= sizeInBytes(e.getKey());
            remove(e.getKey());
        }
        List<Exchange> orphans = new ArrayList<>();
        for (Iterator<Map.Entry<Exchange, Long>> i = mOrphanDeadlines.entrySet().iterator();
                i.hasNext(); ) {
            Map.Entry<Exchange, Long> e = i.next();
            if (e.getKey().isEnded() || !e.getKey().subscribers().isEmpty()) {
                i.remove();
            } else if (e.getValue() <= nowMillis) {
                i.remove();
                orphans.add(e.getKey());
            }
        }
        return orphans;
    }

    private void remove(Exchange e) {
        mByAttempt.remove(e.request().getAttemptKey(), e);
        mByRequest.remove(requestKey(e.request()), e);
    }

    private static long sizeInBytes(Exchange e) {
        return OVERHEAD_BYTES + e.buffer().bytes() + e.request().getSerializedSize();
    }

    int size() {
        return mByAttempt.size();
    }

    long retainedBytes() {
        return mRetainedBytes;
    }
}
