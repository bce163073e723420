package org.forkseam.direct.know;

import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;

import java.util.Optional;

/**
 * Registers this router in the store, and writes rows again that the store lost when it was
 * restored from an older copy. Confined to the event loop.
 */
final class RowRestorer extends FollowerBase {
    /** Delay before the registration is checked, or a failed write is retried. */
    private static final long RETRY_MILLIS = 5_000;

    /** Time within which a read shows what this router has written. */
    private static final long MAX_READ_DELAY_MILLIS = 10_000;

    /** Delay of the routers that write lost rows only if the reading router has failed to. */
    private static final long FALLBACK_WRITE_DELAY_MILLIS = 1_500;

    /** Delay before the next row after another router has written one. */
    private static final long CONFLICT_RETRY_MILLIS = 100;

    /** Routers that have not registered again this long after a restore are removed. */
    private static final long ROUTER_EXPIRY_MILLIS = 60_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final SharedRows mRows;
    private final RowTable mTable;
    private final RowFollower mRowFollower;
    private boolean mWriting;
    private boolean mRegistering;
    private int mFailedRegistrations;
    private long mRegisteredAt = NEVER;

    RowRestorer(Context context, SharedRows rows, RowTable table, RowFollower follower) {
        super(context);
        mRows = rows;
        mTable = table;
        mRowFollower = follower;
    }

    void start() {
        schedule(RETRY_MILLIS, this::register);
    }

    /** Removes the registration of this router. */
    @Override
    void stop() {
        super.stop();
        mRows.remove(ownKey()).exceptionally(e -> RowFollower.logWriteFailure("unregister", e));
    }

    private String ownKey() {
        return RowFollower.ROUTER_PREFIX + peers().host();
    }

    /**
     * Registers this router unless the store still has a current registration. A failed write is
     * repeated, since the others divide shared limits by the registered routers.
     */
    void register() {
        if (isStopped() || mRegistering) {
            return;
        }
        Optional<SharedRow> own = mTable.find(ownKey());
        boolean isThere = own.isPresent() && own.get().value().equals(peers().address());
        if (isThere && !mTable.isUnsynced(ownKey())) {
            return;
        }
        if (now() - mRegisteredAt < MAX_READ_DELAY_MILLIS) {
            schedule(RETRY_MILLIS, this::register); // written, and not read yet
        } else {
            mRegistering = true;
            mRows.put(ownKey(), peers().address()).whenComplete((done, e) -> onRegistered(e));
        }
    }

    private void onRegistered(Throwable failure) {
        if (failure == null) {
            mRegistering = false;
            mRegisteredAt = now();
            mFailedRegistrations = 0;
            return;
        }
        RowFollower.logWriteFailure("register", failure);
        schedule(backoffMillis(++mFailedRegistrations), this::repeatRegistration);
    }

    private void repeatRegistration() {
        mRegistering = false;
        register();
    }

    /**
     * Schedules writes of what the store lacks after a restore: each router registers itself, and
     * one router writes the shared rows, with the others as fallback.
     *
     * @param isFirst whether this router writes the shared rows without delay
     */
    void onStoreRestored(boolean isFirst) {
        mRegisteredAt = NEVER;
        schedule(fleetJitterMillis(), this::register);
        schedule(RETRY_MILLIS + fleetJitterMillis(), this::register);
        long pause = isFirst ? 0 : FALLBACK_WRITE_DELAY_MILLIS + fleetJitterMillis();
        schedule(pause, () -> rewriteRows(isFirst));
        scheduleTimeout(ROUTER_EXPIRY_MILLIS, this::expireRouters);
    }

    /** Writes the rows that the store lacks, one at a time. */
    private void rewriteRows(boolean isFirst) {
        if (isStopped() || mWriting || !mRowFollower.isCurrent()) {
            return;
        }
        if (isFirst) {
            mTable.drainResurrected().forEach(this::removeResurrected);
        }
        Optional<SharedRow> next =
                mTable.unsynced().stream()
                        .filter(r -> !RowFollower.isRouter(r) && !VersionRecords.isRecord(r))
                        .findFirst();
        if (next.isEmpty()) {
            return;
        }
        mWriting = true;
        SharedRow row = next.get();
        mRows.compareAndSet(row.key(), row.value(), row.position())
                .whenComplete((now, failure) -> onWritten(row, now, failure));
    }

    private void onWritten(SharedRow row, SharedRow now, Throwable failure) {
        mWriting = false;
        if (failure != null) {
            RowFollower.logWriteFailure(row.key(), failure);
            schedule(RETRY_MILLIS, () -> rewriteRows(false));
        } else if (now.value().equals(row.value())) {
            mRowFollower.onWritten(now);
            rewriteRows(false);
        } else {
            mRowFollower.onRead(now);
            schedule(CONFLICT_RETRY_MILLIS, () -> rewriteRows(false));
        }
    }

    private void removeResurrected(SharedRow row) {
        mRows.remove(row.key()).exceptionally(e -> RowFollower.logWriteFailure(row.key(), e));
    }

    /** Removes the routers that have not registered again. */
    private void expireRouters() {
        for (SharedRow r : mTable.unsynced()) {
            if (RowFollower.isRouter(r) && !r.key().equals(ownKey())) {
                mTable.evict(r.key());
                peers().removeRouter(r.key().substring(RowFollower.ROUTER_PREFIX.length()));
            }
        }
    }
}
