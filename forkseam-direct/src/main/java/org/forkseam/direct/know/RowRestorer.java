package org.forkseam.direct.know;

import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRowStore;

import java.util.Optional;

/**
 * Keeps this router's own row in the store, and writes again what the store has lost by coming back
 * from an older copy. Used on the event loop.
 */
final class RowRestorer extends FollowerBase {
    /** A router that the rows do not name writes its own anew after so long. */
    private static final long REGISTER_MILLIS = 5_000;

    /** The router that has read the rows writes them again first; the others if it has not. */
    private static final long OTHERS_WRITE_MILLIS = 1_500;

    /** A row that has been written by another is looked at again after so long. */
    private static final long NEXT_MILLIS = 100;

    /** A router that is cut off from the store may write its row again so late. */
    private static final long FORGET_ROUTERS_MILLIS = 60_000;

    private final SharedRowStore mRows;
    private final RowTable mTable;
    private final RowFollower mFollower;
    private boolean mWriting;

    RowRestorer(Surroundings around, SharedRowStore rows, RowTable table, RowFollower follower) {
        super(around);
        mRows = rows;
        mTable = table;
        mFollower = follower;
    }

    void start() {
        later(REGISTER_MILLIS, this::register);
    }

    /** Removes this router's name, so that the others reckon with one router less. */
    @Override
    void stop() {
        super.stop();
        mRows.remove(ownKey()).exceptionally(e -> RowFollower.logNotWritten("unregister", e));
    }

    private String ownKey() {
        return RowFollower.ROUTER + link().host();
    }

    /** Writes this router's row unless it is there, from an earlier life for instance. */
    void register() {
        if (isStopped()) {
            return;
        }
        Optional<SharedRow> own = mTable.find(ownKey());
        boolean isThere = own.isPresent() && own.get().value().equals(link().address());
        if (!isThere || mTable.isAhead(ownKey())) {
            mRows.put(ownKey(), link().address())
                    .exceptionally(e -> RowFollower.logNotWritten("register", e));
        }
    }

    /**
     * Has written again what the store lacks: this router's row by itself, those that all share by
     * one router, or else by another.
     *
     * @param isFirst whether this router writes what all share, unless it fails to
     */
    void onReturn(boolean isFirst) {
        later(spreadOverRouters(), this::register);
        later(REGISTER_MILLIS + spreadOverRouters(), this::register);
        long pause = isFirst ? 0 : OTHERS_WRITE_MILLIS + spreadOverRouters();
        later(pause, () -> writeAgain(isFirst));
        later(FORGET_ROUTERS_MILLIS, this::forgetRouters);
    }

    /** Writes rows that the store lacks, one after another, until it has them all. */
    private void writeAgain(boolean isFirst) {
        if (isStopped() || mWriting || !mFollower.isCurrent()) {
            return;
        }
        if (isFirst) {
            mTable.takeRevived().forEach(this::removeAgain);
        }
        Optional<SharedRow> next =
                mTable.ahead().stream().filter(r -> !RowFollower.isRouter(r)).findFirst();
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
            RowFollower.logNotWritten(row.key(), failure);
            later(REGISTER_MILLIS, () -> writeAgain(false));
        } else if (now.value().equals(row.value())) {
            mFollower.onWritten(now);
            writeAgain(false);
        } else {
            mFollower.onRead(now);
            later(NEXT_MILLIS, () -> writeAgain(false));
        }
    }

    private void removeAgain(SharedRow row) {
        mRows.remove(row.key()).exceptionally(e -> RowFollower.logNotWritten(row.key(), e));
    }

    /** Forgets the routers that have not written their rows again: they had ended. */
    private void forgetRouters() {
        for (SharedRow r : mTable.ahead()) {
            if (RowFollower.isRouter(r) && !r.key().equals(ownKey())) {
                mTable.forget(r.key());
                link().remove(r.key().substring(RowFollower.ROUTER.length()));
            }
        }
    }
}
