package org.forkseam.direct.know;

import org.forkseam.core.member.VersionHistory;
import org.forkseam.core.member.VersionRecord;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Keeps the recent software versions of each pool in shared rows, so that a router that has just
 * started knows which versions may have begun streams. Any router writes by compare-and-set, only
 * when the versions of a pool change. Confined to the event loop.
 */
final class VersionRecords extends FollowerBase {
    /** Key prefix of the rows, followed by the pool. */
    private static final String KEY_PREFIX = "versions/";

    /** Delay of writes by other routers than the one that reads the rows. */
    private static final long FALLBACK_DELAY_MILLIS = 800;

    private static final long WRITE_JITTER_MILLIS = 100;

    private final SharedRows mRows;
    private final RowFollower mRowFollower;
    private final VersionHistory mVersions;
    private final Map<String, Integer> mEras = new HashMap<>();
    private boolean mWriting;

    VersionRecords(
            Context context, SharedRows rows, RowFollower follower, VersionHistory versions) {
        super(context);
        mRows = rows;
        mRowFollower = follower;
        mVersions = versions;
    }

    /** Returns whether a row is a record of versions, which this class writes after a restore. */
    static boolean isRecord(SharedRow row) {
        return row.key().startsWith(KEY_PREFIX);
    }

    /** Applies a changed row; ignores rows of other kinds. */
    void apply(SharedRow row) {
        if (!isRecord(row)) {
            return;
        }
        String pool = row.key().substring(KEY_PREFIX.length());
        Optional<VersionRecord> record = VersionRecord.parse(row.value());
        OptionalLong storeNow = mRowFollower.storeMillis();
        if (record.isEmpty() || storeNow.isEmpty()) {
            mVersions.onRecord(pool, Map.of(), Long.MAX_VALUE, now());
            return;
        }
        mEras.put(pool, record.get().era());
        boolean sameEra = record.get().era() == era().newest();
        long offset = now() - storeNow.getAsLong();
        Map<Long, Long> recordedAt = new HashMap<>();
        record.get()
                .versions()
                .forEach((v, at) -> recordedAt.put(v, sameEra ? at + offset : now()));
        long since = sameEra ? record.get().sinceMillis() + offset : Long.MAX_VALUE;
        mVersions.onRecord(pool, recordedAt, since, now());
    }

    /** Schedules a write if the record of a pool is outdated. */
    void plan() {
        if (mWriting || isStopped() || !mRowFollower.isCurrent()) {
            return;
        }
        for (String pool : mVersions.pools()) {
            if (isOutdated(pool)) {
                mWriting = true;
                long first =
                        mRowFollower.isReader() ? 0 : FALLBACK_DELAY_MILLIS + fleetJitterMillis();
                schedule(first + random().nextLong(WRITE_JITTER_MILLIS), () -> write(pool));
                return;
            }
        }
    }

    /** A record of an earlier era is written again, since routers that start do not trust it. */
    private boolean isOutdated(String pool) {
        return mEras.getOrDefault(pool, -1) != era().newest()
                || mVersions.isRecordOutdated(pool, now());
    }

    private void write(String pool) {
        OptionalLong storeNow = mRowFollower.storeMillis();
        if (isStopped() || storeNow.isEmpty() || !isOutdated(pool)) {
            mWriting = false;
            return;
        }
        long offset = storeNow.getAsLong() - now();
        Map<Long, Long> versions = new HashMap<>();
        mVersions.nextRecord(pool, now()).forEach((v, at) -> versions.put(v, at + offset));
        VersionRecord r =
                new VersionRecord(era().newest(), mVersions.completeSince(pool) + offset, versions);
        String key = KEY_PREFIX + pool;
        mRows.compareAndSet(key, r.format(), mRowFollower.position(key))
                .whenComplete((row, failure) -> onWritten(r, key, row, failure));
    }

    /** Only the router whose write took effect broadcasts the row. */
    private void onWritten(VersionRecord written, String key, SharedRow row, Throwable failure) {
        mWriting = false;
        if (failure != null) {
            RowFollower.logWriteFailure(key, failure);
        } else if (row.value().equals(written.format())) {
            mRowFollower.onWritten(row);
        } else {
            mRowFollower.onRead(row);
        }
    }
}
