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
 * Deletes claims that no caller may repeat any more. One daemon does it for the fleet, by lease; a
 * second one at the same time would do no harm.
 *
 * @since 0.1
 */
public final class ClaimSweeper implements Service {
    /** Name of the service. */
    public static final String NAME = "claim-sweeper";

    /** Clocks of two hosts may differ by so much. */
    private static final long SLACK_MILLIS = 3_600_000;

    private static final long TICK_MILLIS = 2_000;
    private static final int PAGE = 250;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Fleet mFleet;
    private final TableService mTable;
    private final String mHost;
    private final LeaseKeeper mLease;
    private final Ticker mTicker;
    private String mAfter = "";
    private long mSwept;

    private ClaimSweeper(
            Eventloop loop, Clock clock, Fleet fleet, TableService table, String host) {
        mLoop = loop;
        mClock = clock;
        mFleet = fleet;
        mTable = table;
        mHost = host;
        mLease = LeaseKeeper.of(NAME, host, table, clock);
        mTicker = Ticker.of(loop, () -> TICK_MILLIS, this::tick);
    }

    /** Creates the sweeper of one daemon. */
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
        return Map.of("holder", mLease.fence().isPresent(), "swept", mSwept);
    }

    private void tick() {
        if (!LeaseKeeper.isCandidate(NAME, mHost, mFleet.view().hosts())) {
            return;
        }
        mLease.tick();
        if (mLease.fence().isPresent()) {
            mTable.scan(ClaimStore.KEY_PREFIX, mAfter, PAGE)
                    .thenAccept(r -> mLoop.post(() -> sweep(r)));
        }
    }

    private void sweep(List<Row> rows) {
        mAfter = rows.size() < PAGE ? "" : rows.get(rows.size() - 1).key();
        List<Write> deletes = rows.stream().filter(this::isOver).map(ClaimSweeper::delete).toList();
        if (!deletes.isEmpty()) {
            mSwept += deletes.size();
            mTable.transact(deletes);
        }
    }

    private boolean isOver(Row row) {
        long age = mClock.nowMillis() - ClaimStore.parse(row).row().atMillis();
        return age > ClaimRow.RETENTION_MILLIS + SLACK_MILLIS;
    }

    private static Write delete(Row row) {
        return new Write(row.key(), Optional.empty(), Optional.of(row.revision()));
    }
}
