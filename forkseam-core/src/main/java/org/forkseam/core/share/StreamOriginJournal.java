package org.forkseam.core.share;

import org.forkseam.core.member.VersionHistory;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides what the recorder of a partition of streams writes to the store, and when. Not
 * thread-safe.
 *
 * <p>Each batch is a row of its own, named by a hash of its content, so that two routers that both
 * consider themselves the recorder, or a router that starts again, do not overwrite each other's
 * rows. An origin never changes: a batch that is written late, twice, or comes back from an older
 * copy of the store is still true.
 *
 * @since 0.7
 */
public final class StreamOriginJournal {
    /** Streams that begin within this time of each other share a batch. */
    static final long COLLECT_MILLIS = 20;

    /** Delay after a failed write, to limit the load on a store that is unavailable. */
    static final long RETRY_MILLIS = 1_000;

    /** Streams in a batch, 10 bytes each; a batch has about 110 at 340 routers. */
    static final int MAX_BATCH = 2_000;

    /** Rows removed with a batch; more than one, so that rows of other routers go too. */
    static final int MAX_REMOVED = 20;

    /** Time after which a row is removed; its streams began before it was known. */
    static final long RETENTION_MILLIS = VersionHistory.STREAM_LIFETIME_MILLIS + 5_000;

    private static final int MAX_PENDING = 8_192;
    private static final int MAX_ROWS = 4_096;

    /** When each pending stream was added; a longer store outage than streams last drops it. */
    private final Map<StreamOrigin, Long> mPending = BoundedMap.byInsertion(MAX_PENDING);

    /** Whether each stream that was added has been written. */
    private final Map<Long, Boolean> mAdded = BoundedMap.byInsertion(MAX_PENDING);

    /** Since when each row in the store has been known. */
    private final Map<String, Long> mRows = BoundedMap.byInsertion(MAX_ROWS);

    private long mNextWriteAt = Long.MIN_VALUE / 2;
    private boolean mWriting;

    /**
     * A row to write, and rows to remove with it.
     *
     * @param origins streams of the row
     */
    public record Batch(
            String key, byte[] value, List<String> removed, Collection<StreamOrigin> origins) {}

    private StreamOriginJournal() {}

    /** Creates a journal without rows. */
    public static StreamOriginJournal create() {
        return new StreamOriginJournal();
    }

    /** Adds a stream that has begun, unless it was added before. */
    public void add(StreamOrigin origin, long nowMillis) {
        if (mAdded.putIfAbsent(origin.stream(), false) == null) {
            mPending.put(origin, nowMillis);
        }
    }

    /** Returns whether a stream has been written, as far as this journal remembers. */
    public boolean isWritten(long stream) {
        return mAdded.getOrDefault(stream, false);
    }

    /** Records that the store has these rows. */
    public void onRows(Collection<String> keys, long nowMillis) {
        keys.forEach(k -> mRows.putIfAbsent(k, nowMillis));
    }

    /** Returns the time until the next batch is due; empty if there is nothing to write now. */
    public OptionalLong delayMillis(long nowMillis) {
        return mWriting || mPending.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(COLLECT_MILLIS, mNextWriteAt - nowMillis));
    }

    /**
     * Returns the next batch if one is due; its result must be reported.
     *
     * @param intervalMillis time until the batch after it
     */
    public Optional<Batch> next(long intervalMillis, long nowMillis) {
        long oldest = nowMillis - VersionHistory.STREAM_LIFETIME_MILLIS;
        mPending.values().removeIf(at -> at < oldest);
        if (mWriting || mPending.isEmpty() || nowMillis < mNextWriteAt) {
            return Optional.empty();
        }
        mWriting = true;
        mNextWriteAt = nowMillis + intervalMillis;
        List<StreamOrigin> origins = mPending.keySet().stream().limit(MAX_BATCH).toList();
        byte[] value = StreamOriginCodec.encode(origins);
        String key = Hashes.toHex(Hashes.of(value));
        return Optional.of(new Batch(key, value, outdatedRows(nowMillis), origins));
    }

    private List<String> outdatedRows(long now) {
        List<String> outdated = new ArrayList<>();
        for (Map.Entry<String, Long> row : mRows.entrySet()) {
            if (now - row.getValue() >= RETENTION_MILLIS && outdated.size() < MAX_REMOVED) {
                outdated.add(row.getKey());
            }
        }
        return outdated;
    }

    /** Records that a batch was written. */
    public void onWritten(Batch batch, long nowMillis) {
        mWriting = false;
        batch.origins().forEach(mPending::remove);
        batch.origins().forEach(o -> mAdded.replace(o.stream(), true));
        batch.removed().forEach(mRows::remove);
        mRows.put(batch.key(), nowMillis);
    }

    /** Records that a write failed; the store may still have executed it. */
    public void onFailed(Batch batch, long nowMillis) {
        mWriting = false;
        mNextWriteAt = nowMillis + RETRY_MILLIS;
        mRows.put(batch.key(), nowMillis);
    }

    /** Returns counts for the state dump. */
    public Map<String, Long> dump() {
        Map<String, Long> m = new LinkedHashMap<>();
        m.put("pending", (long) mPending.size());
        m.put("rows", (long) mRows.size());
        return m;
    }
}
