package org.forkseam.core.share;

import org.forkseam.core.member.VersionHistory;
import org.forkseam.core.util.BoundedMap;

import java.util.Map;
import java.util.Optional;

/**
 * Remembers which software began recent streams, for as long as they can be resumed. Not
 * thread-safe.
 *
 * @since 0.7
 */
public final class StreamOriginTable {
    /** About 100 bytes each. */
    private static final int MAX_STREAMS = 16_384;

    private final Map<Long, Entry> mEntries = BoundedMap.byInsertion(MAX_STREAMS);

    /** An origin and when it was added. */
    private record Entry(StreamOrigin origin, long at) {}

    private StreamOriginTable() {}

    /** Creates an empty table. */
    public static StreamOriginTable create() {
        return new StreamOriginTable();
    }

    /** Adds a stream; the origin of a known stream does not change. */
    public void add(StreamOrigin origin, long nowMillis) {
        mEntries.putIfAbsent(origin.stream(), new Entry(origin, nowMillis));
    }

    /** Returns the origin of a stream, if known. */
    public Optional<StreamOrigin> find(long stream, long nowMillis) {
        return Optional.ofNullable(mEntries.get(stream))
                .filter(e -> nowMillis - e.at() < VersionHistory.STREAM_LIFETIME_MILLIS)
                .map(Entry::origin);
    }

    /** Returns the number of streams in the table, including outdated ones. */
    public int size() {
        return mEntries.size();
    }
}
