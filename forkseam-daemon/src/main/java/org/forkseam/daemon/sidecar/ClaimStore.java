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
 * Reads and writes claims in the table service, batching writes into transactions.
 *
 * <p>If one write of a batch conflicts, the whole transaction is rolled back and each write is
 * retried in a transaction of its own. Not thread-safe; used on the event loop.
 *
 * @since 0.1
 */
public final class ClaimStore {
    /** Prefix of the row keys of all claims. */
    public static final String KEY_PREFIX = "claim/";

    private static final long BATCH_DELAY_MILLIS = 2;
    private static final int MAX_BATCH_SIZE = 64;
    private static final ObjectMapper JSON =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final Eventloop mLoop;
    private final TableService mTable;
    private List<PendingWrite> mBatch = new ArrayList<>();

    /** A write queued for the next batch. */
    private record PendingWrite(Write write, CompletableFuture<TxnResult> result) {}

    /**
     * A claim with the revision of its row.
     *
     * @param row the claim
     * @param revision expected revision for the next compare-and-set
     */
    public record VersionedClaim(ClaimRow row, long revision) {}

    private ClaimStore(Eventloop loop, TableService table) {
        mLoop = loop;
        mTable = table;
    }

    /** Creates a store backed by the table service. */
    public static ClaimStore of(Eventloop loop, TableService table) {
        return new ClaimStore(loop, table);
    }

    /** Returns the row key of a team's request. */
    public static String key(String team, String requestId) {
        return KEY_PREFIX + team + "/" + requestId;
    }

    /** Inserts a claim if its row does not exist. */
    public CompletableFuture<TxnResult> insert(String key, ClaimRow row) {
        return enqueue(Write.insert(key, toJson(row)));
    }

    /** Replaces a claim if its row still has the given revision. */
    public CompletableFuture<TxnResult> replace(String key, ClaimRow row, long revision) {
        return enqueue(Write.replace(key, toJson(row), revision));
    }

    /** Reads a claim. */
    public CompletableFuture<Optional<VersionedClaim>> read(String key) {
        return mTable.get(key).thenApply(r -> r.map(ClaimStore::parse));
    }

    /** Parses a claim from a row. */
    public static VersionedClaim parse(Row row) {
        try {
            return new VersionedClaim(JSON.readValue(row.value(), ClaimRow.class), row.revision());
        } catch (IOException e) {
            throw new UncheckedIOException("claim row " + row.key() + " is malformed", e);
        }
    }

    private static String toJson(ClaimRow row) {
        try {
            return JSON.writeValueAsString(row);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("claim cannot be serialized", e);
        }
    }

    // ---------------------------------------------------------------- batching

    private CompletableFuture<TxnResult> enqueue(Write write) {
        boolean sameKey = mBatch.stream().anyMatch(p -> p.write().key().equals(write.key()));
        if (sameKey || mBatch.size() >= MAX_BATCH_SIZE) {
            flush();
        }
        CompletableFuture<TxnResult> result = new CompletableFuture<>();
        mBatch.add(new PendingWrite(write, result));
        if (mBatch.size() == 1) {
            mLoop.delay(BATCH_DELAY_MILLIS, this::flush);
        }
        return result;
    }

    private void flush() {
        List<PendingWrite> batch = mBatch;
        if (batch.isEmpty()) {
            return;
        }
        mBatch = new ArrayList<>();
        mTable.transact(batch.stream().map(PendingWrite::write).toList())
                .thenAccept(r -> onBatchResult(batch, r));
    }

    private void onBatchResult(List<PendingWrite> batch, TxnResult result) {
        if (batch.size() > 1 && result instanceof TxnResult.Conflict) {
            for (PendingWrite p : batch) {
                mTable.transact(List.of(p.write())).thenAccept(p.result()::complete);
            }
            return;
        }
        batch.forEach(p -> p.result().complete(result));
    }
}
