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
 * Acquires and renews one lease in the table service. Not thread-safe: used on the event loop only.
 *
 * <p>Only a few daemons, chosen by rendezvous hashing on the lease name, compete for a lease, so
 * that its load on the table service does not grow with the fleet.
 *
 * @since 0.1
 */
public final class LeaseManager {
    /** Time after which a lease expires unless renewed. */
    public static final long TTL_MILLIS = 9_000;

    private static final String KEY_PREFIX = "lease/";
    private static final int CANDIDATE_COUNT = 3;

    private final String mName;
    private final TableService mTable;
    private final Clock mClock;
    private final LeaseElector mElector;
    private long mNextAttemptMillis;
    private boolean mRequestPending;

    private LeaseManager(String name, String host, TableService table, Clock clock) {
        mName = name;
        mTable = table;
        mClock = clock;
        mElector = LeaseElector.of(host, TTL_MILLIS);
    }

    /** Creates a manager of one lease for one daemon. */
    public static LeaseManager of(String name, String host, TableService table, Clock clock) {
        return new LeaseManager(name, host, table, clock);
    }

    /** Returns the row key of a lease. */
    public static String key(String name) {
        return KEY_PREFIX + name;
    }

    /** Returns whether a host is a candidate for a lease. */
    public static boolean isCandidate(String name, String host, Collection<HostEntry> hosts) {
        long key = Hashes.of(name);
        return hosts.stream()
                .filter(h -> !h.leaving())
                .map(HostEntry::host)
                .sorted(Comparator.comparingLong(h -> Hashes.mix(key, Hashes.of(h))))
                .limit(CANDIDATE_COUNT)
                .anyMatch(host::equals);
    }

    /** Renews or tries to acquire the lease when due. */
    public void tick() {
        long now = mClock.nowMillis();
        if (mRequestPending || now < mNextAttemptMillis) {
            return;
        }
        mRequestPending = true;
        mNextAttemptMillis = now + TTL_MILLIS / 4;
        mTable.get(key(mName)).whenComplete((row, e) -> onRead(row, e));
    }

    private void onRead(Optional<Row> row, Throwable e) {
        if (e != null) {
            mRequestPending = false;
            return;
        }
        long revision = row.map(Row::revision).orElse(0L);
        LeaseElector.Step step =
                mElector.onRead(row.map(LeaseManager::fromRow), revision, mClock.nowMillis());
        if (step == LeaseElector.Step.WAIT) {
            mRequestPending = false;
            return;
        }
        Write w =
                step == LeaseElector.Step.INSERT
                        ? Write.insert(key(mName), toJson(mElector.next()))
                        : Write.replace(key(mName), toJson(mElector.next()), revision);
        mTable.transact(List.of(w)).thenAccept(this::onWritten);
    }

    private void onWritten(TxnResult result) {
        mRequestPending = false;
        if (result instanceof TxnResult.Applied a) {
            mElector.onWritten(a.revision());
        }
    }

    /** Returns the fencing token if this daemon currently holds the lease. */
    public Optional<Long> fence() {
        return mElector.fence(mClock.nowMillis());
    }

    /** Parses a lease row. */
    public static LeaseRow fromRow(Row row) {
        try {
            return PlatformHttpClient.JSON.readValue(row.value(), LeaseRow.class);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("lease row " + row.key() + " is malformed", e);
        }
    }

    private static String toJson(LeaseRow row) {
        try {
            return PlatformHttpClient.JSON.writeValueAsString(row);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize a lease row", e);
        }
    }
}
