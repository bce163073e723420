package org.forkseam.direct.know;

import org.forkseam.core.crash.CrashEvent;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Stores requests that are one crash short of being refused, for routers that start later or cannot
 * reach the others. Without these rows, each partitioned router would count crashes separately.
 * Confined to the event loop.
 *
 * <p>Only the router that observed the deciding crash writes the row.
 */
final class SuspectRows {
    private static final RowKeyPrefix ROW_KEY = new RowKeyPrefix("suspect/");

    /**
     * Bounds the rows in the store, of about 80 bytes each; beyond it, only messages between
     * routers carry suspects.
     */
    private static final int MAX_ROWS = 256;

    /** Rows are removed after this time. */
    private static final long RETENTION_MILLIS = 600_000;

    private final SharedRows mRows;
    private final Supplier<OptionalLong> mStoreMillis;
    private final Map<String, Long> mWrittenAt = BoundedMap.byInsertion(2 * MAX_ROWS);

    SuspectRows(SharedRows rows, Supplier<OptionalLong> storeMillis) {
        mRows = rows;
        mStoreMillis = storeMillis;
    }

    /** Writes the known crashes of a request unless the limit is reached. */
    void write(long content, List<CrashEvent> crashes) {
        OptionalLong now = mStoreMillis.get();
        if (now.isEmpty() || mWrittenAt.size() >= MAX_ROWS) {
            return;
        }
        StringBuilder value = new StringBuilder(Long.toString(now.getAsLong()));
        crashes.forEach(f -> value.append(',').append(Integer.toHexString(f.crashId())));
        String key = ROW_KEY.keyOf(content);
        mRows.put(key, value.toString()).exceptionally(e -> RowFollower.logWriteFailure(key, e));
    }

    /** Applies a changed row and returns its crashes; empty if the row is of another kind. */
    List<CrashEvent> apply(SharedRow row) {
        if (!ROW_KEY.matches(row.key())) {
            return List.of();
        }
        if (!row.exists()) {
            mWrittenAt.remove(row.key());
            return List.of();
        }
        Optional<Long> content = ROW_KEY.contentOf(row.key());
        try {
            if (content.isPresent()) {
                return read(row, content.get());
            }
        } catch (NumberFormatException e) {
            // logged below, like a malformed key
        }
        Event.of("suspect_row_malformed").with("row", row.key()).log();
        return List.of();
    }

    private List<CrashEvent> read(SharedRow row, long content) {
        String[] fields = row.value().split(",");
        List<CrashEvent> crashes = new ArrayList<>();
        for (int i = 1; i < fields.length; i++) {
            CrashEvent f = new CrashEvent(content, Integer.parseUnsignedInt(fields[i], 16));
            if (!f.isAnswered()) {
                crashes.add(f);
            }
        }
        mWrittenAt.put(row.key(), Long.parseLong(fields[0]));
        return crashes;
    }

    /** Removes expired rows. */
    void sweep() {
        long now = mStoreMillis.get().orElse(0);
        for (Map.Entry<String, Long> e : List.copyOf(mWrittenAt.entrySet())) {
            if (now - e.getValue() >= RETENTION_MILLIS) {
                mWrittenAt.remove(e.getKey());
                mRows.remove(e.getKey())
                        .exceptionally(x -> RowFollower.logWriteFailure(e.getKey(), x));
            }
        }
    }
}
