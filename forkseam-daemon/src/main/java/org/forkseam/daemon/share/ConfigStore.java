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
 * Keeps the sequence of configuration versions in the table service.
 *
 * <p>The row {@code config/head} names the latest version, and one row for each change leads there.
 * Both are written in one transaction under the condition that the head has not moved, so that of
 * two operators who race one is refused. Every so many versions the whole configuration goes to the
 * object store, so that a fresh daemon need not read all changes.
 *
 * @since 0.1
 */
public final class ConfigStore {
    /** Versions between two snapshots. */
    public static final int SNAPSHOT_EVERY = 50;

    private static final String HEAD = "config/head";
    private static final String CHANGE = "config/change/";
    private static final String SNAPSHOT = "config/snapshot";
    private static final int MAX_CHANGES = 1000;
    private static final ObjectMapper JSON =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final TableService mTable;
    private final ObjectStore mObjects;

    /**
     * Names the latest version.
     *
     * @param version the version; 0 before the first change
     * @param hash its hash
     * @param changeId id of the change that led to it
     * @param revision of the row, for the next compare-and-set
     */
    public record Head(long version, String hash, String changeId, long revision) {}

    /** Holds the head row's text. */
    private record HeadText(long version, String hash, String changeId) {}

    /** Holds a snapshot's text. */
    private record SnapshotText(
            long version, String hash, Map<String, Map<String, String>> sections) {}

    private ConfigStore(TableService table, ObjectStore objects) {
        mTable = table;
        mObjects = objects;
    }

    /** Creates a store over the platform's services. */
    public static ConfigStore of(TableService table, ObjectStore objects) {
        return new ConfigStore(table, objects);
    }

    /** Reads which version is the latest. */
    public CompletableFuture<Head> head() {
        return mTable.get(HEAD).thenApply(ConfigStore::toHead);
    }

    private static Head toHead(Optional<Row> row) {
        if (row.isEmpty()) {
            return new Head(0, "", "", 0);
        }
        HeadText t = read(row.get().value(), new TypeReference<HeadText>() {});
        return new Head(t.version(), t.hash(), t.changeId(), row.get().revision());
    }

    /** Reads the changes that follow a version, in order, as far as one scan reaches. */
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
        return mTable.scan(CHANGE, "", Integer.MAX_VALUE)
                .thenApply(
                        rows ->
                                rows.stream()
                                        .map(ConfigStore::toChange)
                                        .filter(c -> c.version() > known.version())
                                        .toList());
    }

    /** Reads the latest snapshot, if there is any. */
    public CompletableFuture<Optional<FleetConfig>> snapshot() {
        return mTable.get(SNAPSHOT)
                .thenCompose(
                        row ->
                                row.isEmpty()
                                        ? CompletableFuture.completedFuture(Optional.empty())
                                        : mObjects.get(row.get().value()))
                .thenApply(data -> data.map(ConfigStore::toConfig));
    }

    /** Writes a change if the head is still the one given. */
    public CompletableFuture<TxnResult> write(Head head, ConfigChange change) {
        HeadText text = new HeadText(change.version(), change.hash(), change.changeId());
        Write moveHead = new Write(HEAD, Optional.of(text(text)), Optional.of(head.revision()));
        Write addChange = Write.insert(changeKey(change.version()), text(change));
        return mTable.transact(List.of(moveHead, addChange));
    }

    /** Writes a snapshot; its loss costs time only. */
    public CompletableFuture<Void> writeSnapshot(FleetConfig config) {
        SnapshotText t = new SnapshotText(config.version(), config.hash(), config.sections());
        String key = SNAPSHOT + "/" + config.version();
        return mObjects.put(key, text(t).getBytes(StandardCharsets.UTF_8))
                .thenCompose(v -> mTable.transact(List.of(Write.put(SNAPSHOT, key))))
                .thenApply(r -> null);
    }

    private static String changeKey(long version) {
        return CHANGE + String.format("%012d", version);
    }

    private static ConfigChange toChange(Row row) {
        return read(row.value(), new TypeReference<ConfigChange>() {});
    }

    private static FleetConfig toConfig(byte[] data) {
        SnapshotText t =
                read(
                        new String(data, StandardCharsets.UTF_8),
                        new TypeReference<SnapshotText>() {});
        return FleetConfig.of(t.version(), t.hash(), t.sections());
    }

    private static String text(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("values of this class can always be written", e);
        }
    }

    private static <T> T read(String text, TypeReference<T> type) {
        try {
            return JSON.readValue(text, type);
        } catch (IOException e) {
            throw new UncheckedIOException("a row of the table service cannot be read", e);
        }
    }
}
