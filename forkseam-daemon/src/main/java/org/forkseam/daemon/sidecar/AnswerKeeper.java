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
 * Finds exchanges by attempt or request, and keeps those that ended for a while within a bound of
 * bytes. Used on the event loop.
 */
final class AnswerKeeper {
    private static final long KEEP_MILLIS = 60_000;
    private static final long ORPHAN_MILLIS = 5_000;
    private static final long OVERHEAD_BYTES = 1_024L;

    private final int mMaxBytes;
    private final Map<String, Exchange> mByAttempt = new HashMap<>();
    private final Map<String, Exchange> mByRequest = new HashMap<>();
    private final Map<Exchange, Long> mEnded = new LinkedHashMap<>();
    private final Map<Exchange, Long> mOrphans = new LinkedHashMap<>();
    private long mBytes;

    private AnswerKeeper(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    static AnswerKeeper of(int maxBytes) {
        return new AnswerKeeper(maxBytes);
    }

    void add(Exchange e) {
        mByAttempt.put(e.request().getAttemptKey(), e);
        mByRequest.put(key(e.request()), e);
    }

    Optional<Exchange> byAttempt(String attemptKey) {
        return Optional.ofNullable(mByAttempt.get(attemptKey));
    }

    /** Finds by id and content, so that a reused id never fetches another request's answer. */
    Optional<Exchange> byRequest(String requestId, String fingerprint) {
        return Optional.ofNullable(mByRequest.get(requestId + "\n" + fingerprint));
    }

    private static String key(Submit s) {
        return s.getRequestId() + "\n" + s.getFingerprint();
    }

    /** Starts the time after which a request that nobody follows is given up. */
    void orphaned(Exchange e, long nowMillis) {
        if (!e.isOver() && !e.request().getUnrepeatable()) {
            mOrphans.put(e, nowMillis + ORPHAN_MILLIS);
        }
    }

    /** Starts the time for which an ended exchange is kept. */
    void ended(Exchange e, long nowMillis) {
        if (e.state() != Exchange.State.WHOLE && e.startedMillis() == 0) {
            drop(e);
            return;
        }
        mEnded.put(e, nowMillis + KEEP_MILLIS);
        mBytes += size(e);
        Iterator<Exchange> oldest = mEnded.keySet().iterator();
        while (mBytes > mMaxBytes && oldest.hasNext()) {
            Exchange out = oldest.next();
            if (out.viewers().isEmpty()) {
                oldest.remove();
                mBytes -= size(out);
                drop(out);
            }
        }
    }

    /** Drops what was kept long enough, and returns the requests to give up. */
    List<Exchange> expire(long nowMillis) {
        for (Iterator<Map.Entry<Exchange, Long>> i = mEnded.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Exchange, Long> e = i.next();
            if (e.getValue() > nowMillis) {
                break;
            }
            i.remove();
            mBytes -= size(e.getKey());
            drop(e.getKey());
        }
        List<Exchange> lost = new ArrayList<>();
        for (Iterator<Map.Entry<Exchange, Long>> i = mOrphans.entrySet().iterator();
                i.hasNext(); ) {
            Map.Entry<Exchange, Long> e = i.next();
            if (e.getKey().isOver() || !e.getKey().viewers().isEmpty()) {
                i.remove();
            } else if (e.getValue() <= nowMillis) {
                i.remove();
                lost.add(e.getKey());
            }
        }
        return lost;
    }

    private void drop(Exchange e) {
        mByAttempt.remove(e.request().getAttemptKey(), e);
        mByRequest.remove(key(e.request()), e);
    }

    private static long size(Exchange e) {
        return OVERHEAD_BYTES + e.buffer().bytes() + e.request().getSerializedSize();
    }

    int size() {
        return mByAttempt.size();
    }

    long bytes() {
        return mBytes;
    }
}
