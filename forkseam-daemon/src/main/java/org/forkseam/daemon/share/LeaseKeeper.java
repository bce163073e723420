package org.forkseam.daemon.share;

import com.fasterxml.jackson.core.JsonProcessingException;

import org.forkseam.core.lease.LeaseElector;
import org.forkseam.core.lease.LeaseRow;
import org.forkseam.core.member.HostEntry;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.Hashes;
import org.forkseam.platform.Row;
import org.forkseam.platform.TableService;
import org.forkseam.platform.TxnResult;
import org.forkseam.platform.Write;
import org.forkseam.platform.http.PlatformHttpClient;

import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Holds one lease in the table service if nobody else does. Used on the event loop.
 *
 * <p>Any daemon may hold any lease, but only the few that the lease's name hashes to try, so that a
 * lease costs the table service some reads a second whatever the size of the fleet.
 *
 * @since 0.1
 */
public final class LeaseKeeper {
    /** How long a lease lasts unrenewed. */
    public static final long TTL_MILLIS = 9_000;

    private static final String PREFIX = "lease/";
    private static final int CANDIDATES = 3;

    private final String mName;
    private final TableService mTable;
    private final Clock mClock;
    private final LeaseElector mWatch;
    private long mNextAtMillis;
    private boolean mBusy;

    private LeaseKeeper(String name, String host, TableService table, Clock clock) {
        mName = name;
        mTable = table;
        mClock = clock;
        mWatch = LeaseElector.of(host, TTL_MILLIS);
    }

    /** Creates a keeper of one lease for one daemon. */
    public static LeaseKeeper of(String name, String host, TableService table, Clock clock) {
        return new LeaseKeeper(name, host, table, clock);
    }

    /** Returns the key of a lease's row. */
    public static String key(String name) {
        return PREFIX + name;
    }

    /** Returns whether a host is among the few that try to hold a lease. */
    public static boolean isCandidate(String name, String host, Collection<HostEntry> hosts) {
        long key = Hashes.of(name);
        return hosts.stream()
                .filter(h -> !h.leaving())
                .map(HostEntry::host)
                .sorted(Comparator.comparingLong(h -> Hashes.mix(key, Hashes.of(h))))
                .limit(CANDIDATES)
                .anyMatch(host::equals);
    }

    /** Renews or tries to take the lease, if it is time to. */
    public void tick() {
        long now = mClock.nowMillis();
        if (mBusy || now < mNextAtMillis) {
            return;
        }
        mBusy = true;
        mNextAtMillis = now + TTL_MILLIS / 4;
        mTable.get(key(mName)).whenComplete((row, e) -> onRead(row, e));
    }

    private void onRead(Optional<Row> row, Throwable e) {
        if (e != null) {
            mBusy = false;
            return;
        }
        long revision = row.map(Row::revision).orElse(0L);
        LeaseElector.Step step =
                mWatch.onRead(row.map(LeaseKeeper::read), revision, mClock.nowMillis());
        if (step == LeaseElector.Step.WAIT) {
            mBusy = false;
            return;
        }
        Write w =
                step == LeaseElector.Step.INSERT
                        ? Write.insert(key(mName), text(mWatch.next()))
                        : Write.replace(key(mName), text(mWatch.next()), revision);
        mTable.transact(List.of(w)).thenAccept(this::onWritten);
    }

    private void onWritten(TxnResult result) {
        mBusy = false;
        if (result instanceof TxnResult.Applied a) {
            mWatch.onWritten(a.revision());
        }
    }

    /** Returns the fence if this daemon may act as the holder now. */
    public Optional<Long> fence() {
        return mWatch.fence(mClock.nowMillis());
    }

    /** Reads a lease out of its row. */
    public static LeaseRow read(Row row) {
        try {
            return PlatformHttpClient.JSON.readValue(row.value(), LeaseRow.class);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("lease " + row.key() + " cannot be read", e);
        }
    }

    private static String text(LeaseRow row) {
        try {
            return PlatformHttpClient.JSON.writeValueAsString(row);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a lease can always be written", e);
        }
    }
}
