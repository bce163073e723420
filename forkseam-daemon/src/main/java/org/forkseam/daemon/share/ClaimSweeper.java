package org.forkseam.daemon.share;

import io.activej.eventloop.Eventloop;

import org.forkseam.core.claim.ClaimRow;
import org.forkseam.core.kernel.Service;
import org.forkseam.core.util.Clock;
import org.forkseam.daemon.sidecar.ClaimStore;
import org.forkseam.platform.Row;
import org.forkseam.platform.TableService;
import org.forkseam.platform.Write;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Deletes claims older than the retention period. One daemon, elected by lease, does so for the
 * fleet; concurrent sweepers are harmless. Not thread-safe: runs on the event loop.
 *
 * @since 0.1
 */
public final class ClaimSweeper implements Service {
    /** Service name. */
    public static final String NAME = "claim-sweeper";

    /** Allowance for clock skew between hosts. */
    private static final long CLOCK_SKEW_MILLIS = 3_600_000;

    private static final long TICK_MILLIS = 2_000;
    private static final int PAGE_SIZE = 250;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Fleet mFleet;
    private final TableService mTable;
    private final String mHost;
    private final LeaseManager mLease;
    private final Ticker mTicker;
    private String mLastKey = "";
    private long mDeletedCount;

    private ClaimSweeper(
            Eventloop loop, Clock clock, Fleet fleet, TableService table, String host) {
        mLoop = loop;
        mClock = clock;
        mFleet = fleet;
        mTable = table;
        mHost = host;
        mLease = LeaseManager.of(NAME, host, table, clock);
        mTicker = Ticker.of(loop, () -> TICK_MILLIS, this::tick);
    }

    /** Creates a claim sweeper. */
    public static ClaimSweeper of(
            Eventloop loop, Clock clock, Fleet fleet, TableService table, String host) {
        return new ClaimSweeper(loop, clock, fleet, table, host);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        mTicker.start();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mTicker.stop();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Object dump() {
        return Map.of("holder", mLease.fence().isPresent(), "swept", mDeletedCount);
    }

    private void tick() {
        if (!LeaseManager.isCandidate(NAME, mHost, mFleet.view().hosts())) {
            return;
        }
        mLease.tick();
        if (mLease.fence().isPresent()) {
            mTable.scan(ClaimStore.KEY_PREFIX, mLastKey, PAGE_SIZE)
                    .thenAccept(r -> mLoop.post(() -> deleteExpired(r)));
        }
    }

    private void deleteExpired(List<Row> rows) {
        mLastKey = rows.size() < PAGE_SIZE ? "" : rows.get(rows.size() - 1).key();
        List<Write> deletes =
                rows.stream().filter(this::isExpired).map(ClaimSweeper::delete).toList();
        if (!deletes.isEmpty()) {
            mDeletedCount += deletes.size();
            mTable.transact(deletes);
        }
    }

    private boolean isExpired(Row row) {
        long age = mClock.nowMillis() - ClaimStore.parse(row).row().atMillis();
        return age > ClaimRow.RETENTION_MILLIS + CLOCK_SKEW_MILLIS;
    }

    private static Write delete(Row row) {
        return new Write(row.key(), Optional.empty(), Optional.of(row.revision()));
    }
}
