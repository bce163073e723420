package org.forkseam.direct.know;

import org.forkseam.core.member.VersionHistory;
import org.forkseam.core.share.StreamKeepers;
import org.forkseam.core.share.StreamOrigin;
import org.forkseam.core.share.StreamOriginCodec;
import org.forkseam.core.share.StreamOriginJournal;
import org.forkseam.core.share.StreamOriginTable;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.StreamRecords;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Records in the store which software began streams, and reads these records after the routers that
 * knew a stream have ended. Confined to the event loop.
 *
 * <p>A record that is missing or late makes a stream unknown; no record can be wrong, also not one
 * of a store that was restored from an older copy, since the origin of a stream never changes.
 */
final class StreamRecorder {
    /** Minimum interval of the reads of a partition; those who ask in between share a read. */
    static final long READ_INTERVAL_MILLIS = 500;

    /**
     * Interval of the reads of a partition by a router that records it: others may have recorded it
     * in its place since, whose rows nobody else would remove.
     */
    private static final long ROW_READ_INTERVAL_MILLIS = 60_000;

    private final StreamOrigins.Timer mTimer;
    private final Clock mClock;
    private final StreamRecords mRecords;
    private final StreamOrigins.Network mNetwork;
    private final StreamConfirmations mConfirmations;
    private final Map<Integer, Partition> mPartitions = new HashMap<>();
    private long mWrites;
    private long mBytes;
    private long mReads;

    /** State of a partition at this router. */
    private static final class Partition {
        private final int mIndex;
        private final StreamOriginJournal mJournal = StreamOriginJournal.create();
        private final List<Runnable> mListeners = new ArrayList<>();
        private StreamOriginTable mCopy = StreamOriginTable.create();
        private OptionalLong mReadStartedAt = OptionalLong.empty();
        private boolean mReading;
        private boolean mWriteScheduled;

        Partition(int index) {
            mIndex = index;
        }
    }

    StreamRecorder(
            StreamOrigins.Timer timer,
            Clock clock,
            StreamRecords records,
            StreamOrigins.Network network,
            StreamConfirmations confirmations) {
        mTimer = timer;
        mClock = clock;
        mRecords = records;
        mNetwork = network;
        mConfirmations = confirmations;
    }

    private Partition partition(long stream) {
        int index = StreamKeepers.partitionOf(stream, mNetwork.partitions());
        return mPartitions.computeIfAbsent(index, Partition::new);
    }

    // ---------------------------------------------------------------- writing

    /**
     * Records a stream of a partition that this router records, also in place of another.
     *
     * @param reporter the router to which this is confirmed; empty if it is this one
     */
    void add(StreamOrigin origin, Optional<InetSocketAddress> reporter) {
        Partition p = partition(origin.stream());
        mConfirmations.await(origin.stream(), reporter);
        if (p.mJournal.isWritten(origin.stream())) {
            mConfirmations.onRecorded(origin.stream());
            return;
        }
        p.mJournal.add(origin, mClock.nowMillis());
        if (isRowReadDue(p)) {
            startRead(p); // learns which rows of other recorders are to be removed
        }
        scheduleWrite(p);
    }

    private boolean isRowReadDue(Partition p) {
        return !p.mReading
                && (p.mReadStartedAt.isEmpty()
                        || mClock.nowMillis() - p.mReadStartedAt.getAsLong()
                                >= ROW_READ_INTERVAL_MILLIS);
    }

    private long intervalMillis(Partition p) {
        int partitions = mNetwork.partitions();
        return mNetwork.isRecorder(p.mIndex, 0)
                ? StreamKeepers.intervalMillis(partitions)
                : StreamKeepers.substituteIntervalMillis(partitions);
    }

    private void scheduleWrite(Partition p) {
        OptionalLong delay = p.mJournal.delayMillis(mClock.nowMillis());
        if (delay.isPresent() && !p.mWriteScheduled) {
            p.mWriteScheduled = true;
            mTimer.after(delay.getAsLong(), () -> write(p));
        }
    }

    private void write(Partition p) {
        p.mWriteScheduled = false;
        Optional<StreamOriginJournal.Batch> next =
                p.mJournal.next(intervalMillis(p), mClock.nowMillis());
        if (next.isEmpty()) {
            scheduleWrite(p);
            return;
        }
        StreamOriginJournal.Batch b = next.get();
        mWrites++;
        mBytes += b.value().length;
        mRecords.write(p.mIndex, b.key(), b.value(), b.removed())
                .whenComplete((ignored, failure) -> onWritten(p, b, failure));
    }

    private void onWritten(Partition p, StreamOriginJournal.Batch batch, Throwable failure) {
        if (failure == null) {
            p.mJournal.onWritten(batch, mClock.nowMillis());
            batch.origins().forEach(o -> mConfirmations.onRecorded(o.stream()));
        } else {
            p.mJournal.onFailed(batch, mClock.nowMillis());
            Event.of("stream_record_not_written").with("cause", failure.getMessage()).log();
        }
        scheduleWrite(p);
    }

    // ---------------------------------------------------------------- reading

    /** Returns the origin of a stream in the records read so far. */
    Optional<StreamOrigin> find(long stream) {
        return partition(stream).mCopy.find(stream, mClock.nowMillis());
    }

    /** Runs a task once the records of a stream's partition have been read, or cannot be. */
    void read(long stream, Runnable task) {
        Partition p = partition(stream);
        if (!p.mReading && hasReadRecently(p)) {
            task.run();
            return;
        }
        p.mListeners.add(task);
        if (!p.mReading) {
            startRead(p);
        }
    }

    private boolean hasReadRecently(Partition p) {
        return p.mReadStartedAt.isPresent()
                && mClock.nowMillis() - p.mReadStartedAt.getAsLong() < READ_INTERVAL_MILLIS;
    }

    private void startRead(Partition p) {
        p.mReading = true;
        p.mReadStartedAt = OptionalLong.of(mClock.nowMillis());
        mReads++;
        mRecords.read(p.mIndex).whenComplete((rows, failure) -> onRead(p, rows, failure));
    }

    private void onRead(Partition p, Map<String, byte[]> rows, Throwable failure) {
        p.mReading = false;
        if (failure == null) {
            p.mJournal.onRows(rows.keySet(), mClock.nowMillis());
            copy(p, rows);
        } else {
            Event.of("stream_records_not_read").with("cause", failure.getMessage()).log();
        }
        List<Runnable> listeners = List.copyOf(p.mListeners);
        p.mListeners.clear();
        listeners.forEach(Runnable::run);
    }

    private void copy(Partition p, Map<String, byte[]> rows) {
        StreamOriginTable copy = StreamOriginTable.create();
        long now = mClock.nowMillis();
        rows.forEach((key, value) -> decode(key, value).forEach(o -> copy.add(o, now)));
        p.mCopy = copy;
        if (copy.size() > 0) {
            mTimer.after(VersionHistory.STREAM_LIFETIME_MILLIS, () -> drop(p, copy));
        }
    }

    private static List<StreamOrigin> decode(String key, byte[] value) {
        Optional<List<StreamOrigin>> origins = StreamOriginCodec.decode(value);
        if (origins.isEmpty()) {
            Event.of("stream_record_malformed").with("row", key).log();
        }
        return origins.orElse(List.of());
    }

    /** Frees the memory of a copy whose streams have all ended. */
    private static void drop(Partition p, StreamOriginTable copy) {
        if (p.mCopy == copy) {
            p.mCopy = StreamOriginTable.create();
        }
    }

    /** Returns counts for the state dump. */
    Map<String, Long> dump() {
        Map<String, Long> m = new LinkedHashMap<>();
        m.put("record_writes", mWrites);
        m.put("record_bytes", mBytes);
        m.put("record_reads", mReads);
        for (Partition p : mPartitions.values()) {
            p.mJournal.dump().forEach((k, v) -> m.merge("record_" + k, v, Long::sum));
        }
        return m;
    }
}
