package org.forkseam.direct.know;

import org.forkseam.core.place.PlacementPolicy;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;

import java.util.List;

/**
 * Records in shared rows which pools' engines have processed most prompts, so that routers that
 * start later do not query coordinators. Any router writes by compare-and-set, once for each pool.
 * Confined to the event loop.
 */
final class WarmPools extends FollowerBase {
    /** Key prefix of the rows, followed by the pool. */
    private static final String KEY_PREFIX = "warm/";

    private static final String VALUE = "1";

    /** Delay of writes by other routers than the one that reads the rows. */
    private static final long FALLBACK_DELAY_MILLIS = 800;

    private static final long WRITE_JITTER_MILLIS = 100;

    private final SharedRows mRows;
    private final RowFollower mRowFollower;
    private final PlacementPolicy mPolicy;
    private boolean mWriting;

    WarmPools(Context context, SharedRows rows, RowFollower follower, PlacementPolicy policy) {
        super(context);
        mRows = rows;
        mRowFollower = follower;
        mPolicy = policy;
    }

    /** Applies a changed row; ignores rows of other kinds. */
    void apply(SharedRow row) {
        if (row.key().startsWith(KEY_PREFIX)) {
            mPolicy.setWarm(row.key().substring(KEY_PREFIX.length()), row.exists());
        }
    }

    /** Schedules a write if a pool has become warm. */
    void plan() {
        if (mWriting || isStopped() || !mRowFollower.isCurrent()) {
            return;
        }
        List<String> pools = mPolicy.poolsToRecord(now());
        if (pools.isEmpty()) {
            return;
        }
        mWriting = true;
        long first = mRowFollower.isReader() ? 0 : FALLBACK_DELAY_MILLIS + fleetJitterMillis();
        schedule(first + random().nextLong(WRITE_JITTER_MILLIS), () -> write(pools.get(0)));
    }

    private void write(String pool) {
        if (isStopped() || !mPolicy.poolsToRecord(now()).contains(pool)) {
            mWriting = false;
            return;
        }
        String key = KEY_PREFIX + pool;
        mRows.compareAndSet(key, VALUE, mRowFollower.position(key))
                .whenComplete((row, failure) -> onWritten(key, row, failure));
    }

    private void onWritten(String key, SharedRow row, Throwable failure) {
        mWriting = false;
        if (failure == null) {
            mRowFollower.onWritten(row);
        } else {
            RowFollower.logWriteFailure(key, failure);
        }
    }
}
