package org.forkseam.daemon.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.activej.eventloop.Eventloop;

import org.forkseam.core.claim.ClaimRow;
import org.forkseam.platform.Row;
import org.forkseam.platform.TableService;
import org.forkseam.platform.TxnResult;
import org.forkseam.platform.Write;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Writes and reads claims in the table service, several writes to one transaction.
 *
 * <p>Writes that come within a few milliseconds go together. If one of them conflicts, the whole
 * transaction had no effect and each is sent on its own. Used on the event loop.
 *
 * @since 0.1
 */
public final class ClaimStore {
    /** What the keys of all claims start with. */
    public static final String PREFIX = "claim/";

    private static final long GROUP_MILLIS = 2;
    private static final int MAX_GROUP = 64;
    private static final ObjectMapper JSON =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final Eventloop mLoop;
    private final TableService mTable;
    private List<Pending> mGroup = new ArrayList<>();

    /** Holds a write that waits for its group. */
    private record Pending(Write write, CompletableFuture<TxnResult> done) {}

    /**
     * Holds a claim with the revision of its row.
     *
     * @param row the claim
     * @param revision for the next compare-and-set
     */
    public record Seen(ClaimRow row, long revision) {}

    private ClaimStore(Eventloop loop, TableService table) {
        mLoop = loop;
        mTable = table;
    }

    /** Creates a store over the table service. */
    public static ClaimStore of(Eventloop loop, TableService table) {
        return new ClaimStore(loop, table);
    }

    /** Returns the row's key of a team's request. */
    public static String key(String team, String requestId) {
        return PREFIX + team + "/" + requestId;
    }

    /** Inserts a claim if there is none. */
    public CompletableFuture<TxnResult> insert(String key, ClaimRow row) {
        return write(Write.insert(key, text(row)));
    }

    /** Replaces a claim if its row has the revision. */
    public CompletableFuture<TxnResult> replace(String key, ClaimRow row, long revision) {
        return write(Write.replace(key, text(row), revision));
    }

    /** Reads a claim. */
    public CompletableFuture<Optional<Seen>> read(String key) {
        return mTable.get(key).thenApply(r -> r.map(ClaimStore::seen));
    }

    /** Reads a claim out of a row. */
    public static Seen seen(Row row) {
        try {
            return new Seen(JSON.readValue(row.value(), ClaimRow.class), row.revision());
        } catch (IOException e) {
            throw new UncheckedIOException("claim " + row.key() + " cannot be read", e);
        }
    }

    private static String text(ClaimRow row) {
        try {
            return JSON.writeValueAsString(row);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a claim can always be written", e);
        }
    }

    // ---------------------------------------------------------------- grouping

    private CompletableFuture<TxnResult> write(Write write) {
        boolean sameKey = mGroup.stream().anyMatch(p -> p.write().key().equals(write.key()));
        if (sameKey || mGroup.size() >= MAX_GROUP) {
            flush();
        }
        CompletableFuture<TxnResult> done = new CompletableFuture<>();
        mGroup.add(new Pending(write, done));
        if (mGroup.size() == 1) {
            mLoop.delay(GROUP_MILLIS, this::flush);
        }
        return done;
    }

    private void flush() {
        List<Pending> group = mGroup;
        if (group.isEmpty()) {
            return;
        }
        mGroup = new ArrayList<>();
        mTable.transact(group.stream().map(Pending::write).toList())
                .thenAccept(r -> onGroupDone(group, r));
    }

    private void onGroupDone(List<Pending> group, TxnResult result) {
        if (group.size() > 1 && result instanceof TxnResult.Conflict) {
            for (Pending p : group) {
                mTable.transact(List.of(p.write())).thenAccept(p.done()::complete);
            }
            return;
        }
        group.forEach(p -> p.done().complete(result));
    }
}
