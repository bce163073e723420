package org.forkseam.direct.io;

import org.forkseam.direct.log.Event;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts what servers send beyond the responses that are due, and logs when a server begins to do
 * so. Used on the event loop.
 *
 * @since 0.10
 */
public final class SurplusCounts {
    /** A server that was quiet for this long is logged again. */
    private static final long QUIET_MILLIS = 60_000;

    /** Bounds the memory for addresses that are not used any more. */
    private static final int MAX_ADDRESSES = 1_024;

    private final Map<SurplusKind, Count> mCounts = new EnumMap<>(SurplusKind.class);
    private final Map<String, Long> mLastSeen = new HashMap<>();

    private SurplusCounts() {
        for (SurplusKind k : SurplusKind.values()) {
            mCounts.put(k, new Count());
        }
    }

    /** Creates counts that are zero. */
    public static SurplusCounts create() {
        return new SurplusCounts();
    }

    /** Returns how often a kind was received. */
    public long occurrences(SurplusKind kind) {
        return mCounts.get(kind).mOccurrences;
    }

    /** Returns the received bytes of a kind; 0 for {@link SurplusKind#OTHER_REQUEST}. */
    public long bytes(SurplusKind kind) {
        return mCounts.get(kind).mBytes;
    }

    /**
     * Counts one occurrence.
     *
     * @param exchanges the requests that were sent on the connection before
     */
    void record(String address, SurplusKind kind, int bytes, int exchanges, long nowMillis) {
        Count c = mCounts.get(kind);
        c.mOccurrences++;
        c.mBytes += bytes;
        if (mLastSeen.size() >= MAX_ADDRESSES) {
            mLastSeen.clear();
        }
        Long last = mLastSeen.put(address, nowMillis);
        if (last == null || nowMillis - last >= QUIET_MILLIS) {
            Event.of("surplus_received")
                    .with("address", address)
                    .with("kind", kind.name().toLowerCase(Locale.ROOT))
                    .with("bytes", bytes)
                    .with("exchanges", exchanges)
                    .log();
        }
    }

    /** Occurrences and bytes of a kind. */
    private static final class Count {
        private long mOccurrences;
        private long mBytes;
    }
}
