package org.forkseam.daemon.share;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.forkseam.core.cfg.ConfigChange;
import org.forkseam.core.cfg.FleetConfig;
import org.forkseam.platform.ObjectStore;
import org.forkseam.platform.Row;
import org.forkseam.platform.TableService;
import org.forkseam.platform.TxnResult;
import org.forkseam.platform.Write;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Stores the history of configuration versions in the table service. Thread-safe if the services
 * are.
 *
 * <p>The row {@code config/head} holds the latest version; each change has a row of its own. Both
 * are written in one transaction, conditional on the head being unchanged, so that one of two
 * concurrent changes is rejected. Periodic snapshots in the object store save a new daemon from
 * replaying all changes.
 *
 * @since 0.1
 */
public final class ConfigStore {
    /** Number of versions between snapshots. */
    public static final int SNAPSHOT_INTERVAL_VERSIONS = 50;

    private static final String HEAD_KEY = "config/head";
    private static final String CHANGE_KEY_PREFIX = "config/change/";
    private static final String SNAPSHOT_KEY = "config/snapshot";
    private static final int MAX_CHANGES = 1000;
    private static final ObjectMapper JSON =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final TableService mTable;
    private final ObjectStore mObjects;

    /**
     * The latest version, as recorded in the head row.
     *
     * @param version version number; 0 before the first change
     * @param hash hash of the configuration
     * @param changeId id of the change that produced the version
     * @param revision revision of the row, for compare-and-set
     */
    public record Head(long version, String hash, String changeId, long revision) {}

    /** JSON form of the head row. */
    private record HeadJson(long version, String hash, String changeId) {}

    /** JSON form of a snapshot. */
    private record SnapshotJson(
            long version, String hash, Map<String, Map<String, String>> sections) {}

    private ConfigStore(TableService table, ObjectStore objects) {
        mTable = table;
        mObjects = objects;
    }

    /** Creates a store backed by the given services. */
    public static ConfigStore of(TableService table, ObjectStore objects) {
        return new ConfigStore(table, objects);
    }

    /** Reads the head row. */
    public CompletableFuture<Head> head() {
        return mTable.get(HEAD_KEY).thenApply(ConfigStore::toHead);
    }

    private static Head toHead(Optional<Row> row) {
        if (row.isEmpty()) {
            return new Head(0, "", "", 0);
        }
        HeadJson t = fromJson(row.get().value(), new TypeReference<HeadJson>() {});
        return new Head(t.version(), t.hash(), t.changeId(), row.get().revision());
    }

    /** Reads the changes that follow a version, in order. */
    public CompletableFuture<List<ConfigChange>> changesAfter(FleetConfig known, long upTo) {
        List<CompletableFuture<Optional<Row>>> reads = new ArrayList<>();
        long last = Math.min(upTo, known.version() + MAX_CHANGES);
        if (last - known.version() <= 4) {
            for (long v = known.version() + 1; v <= last; v++) {
                reads.add(mTable.get(changeKey(v)));
            }
            return CompletableFuture.allOf(reads.toArray(new CompletableFuture<?>[0]))
                    .thenApply(
                            v ->
                                    reads.stream()
                                            .flatMap(r -> r.join().stream())
                                            .map(ConfigStore::toChange)
                                            .toList());
        }
        return mTable.scan(CHANGE_KEY_PREFIX, "", Integer.MAX_VALUE)
                .thenApply(
                        rows ->
                                rows.stream()
                                        .map(ConfigStore::toChange)
                                        .filter(c -> c.version() > known.version())
                                        .toList());
    }

    /** Reads the latest snapshot, if any. */
    public CompletableFuture<Optional<FleetConfig>> snapshot() {
        return mTable.get(SNAPSHOT_KEY)
                .thenCompose(
                        row ->
                                row.isEmpty()
                                        ? CompletableFuture.completedFuture(Optional.empty())
                                        : mObjects.get(row.get().value()))
                .thenApply(data -> data.map(ConfigStore::toConfig));
    }

    /** Writes a change and advances the head row, if that is unchanged. */
    public CompletableFuture<TxnResult> write(Head head, ConfigChange change) {
        HeadJson text = new HeadJson(change.version(), change.hash(), change.changeId());
        Write moveHead =
                new Write(HEAD_KEY, Optional.of(toJson(text)), Optional.of(head.revision()));
        Write addChange = Write.insert(changeKey(change.version()), toJson(change));
        return mTable.transact(List.of(moveHead, addChange));
    }

    /** Writes a snapshot. Failures are harmless, as the changes remain. */
    public CompletableFuture<Void> writeSnapshot(FleetConfig config) {
        SnapshotJson t = new SnapshotJson(config.version(), config.hash(), config.sections());
        String key = SNAPSHOT_KEY + "/" + config.version();
        return mObjects.put(key, toJson(t).getBytes(StandardCharsets.UTF_8))
                .thenCompose(v -> mTable.transact(List.of(Write.put(SNAPSHOT_KEY, key))))
                .thenApply(r -> null);
    }

    private static String changeKey(long version) {
        return CHANGE_KEY_PREFIX + String.format("%012d", version);
    }

    private static ConfigChange toChange(Row row) {
        return fromJson(row.value(), new TypeReference<ConfigChange>() {});
    }

    private static FleetConfig toConfig(byte[] data) {
        SnapshotJson t =
                fromJson(
                        new String(data, StandardCharsets.UTF_8),
                        new TypeReference<SnapshotJson>() {});
        return FleetConfig.of(t.version(), t.hash(), t.sections());
    }

    private static String toJson(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize a configuration row", e);
        }
    }

    private static <T> T fromJson(String text, TypeReference<T> type) {
        try {
            return JSON.readValue(text, type);
        } catch (IOException e) {
            throw new UncheckedIOException("malformed configuration row in the table service", e);
        }
    }
}
