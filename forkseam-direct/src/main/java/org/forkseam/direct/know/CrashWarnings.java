package org.forkseam.direct.know;

import org.forkseam.core.crash.CrashFact;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.SharedRow;
import org.forkseam.direct.spi.SharedRowStore;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Keeps rows of requests under which all but one of the targets have ended that it takes to refuse
 * them, for routers that others' messages do not reach and for those that start later. Without
 * these, each router that is cut off from the others counts for itself. Used on the event loop.
 *
 * <p>Only the router that saw the second end writes: in a storm of four ends some five requests are
 * beside two of them.
 */
final class CrashWarnings {
    private static final ContentKey ROW = new ContentKey("suspect/");

    /** Rows written at most, some 80 bytes each; beyond, messages between routers must do. */
    private static final int MAX_ROWS = 256;

    /** A row is of no use after so long: the request has come again by then. Unit: ms. */
    private static final long KEPT_MILLIS = 600_000;

    private final SharedRowStore mRows;
    private final Supplier<OptionalLong> mStoreMillis;
    private final Map<String, Long> mWrittenAt = BoundedMap.byInsertion(2 * MAX_ROWS);

    CrashWarnings(SharedRowStore rows, Supplier<OptionalLong> storeMillis) {
        mRows = rows;
        mStoreMillis = storeMillis;
    }

    /** Writes what is known of a request. */
    void write(long content, List<CrashFact> crashes) {
        OptionalLong now = mStoreMillis.get();
        if (now.isEmpty() || mWrittenAt.size() >= MAX_ROWS) {
            return;
        }
        StringBuilder value = new StringBuilder(Long.toString(now.getAsLong()));
        crashes.forEach(f -> value.append(',').append(Integer.toHexString(f.crash())));
        String key = ROW.of(content);
        mRows.put(key, value.toString()).exceptionally(e -> RowFollower.logNotWritten(key, e));
    }

    /** Takes in a row that changed, and returns what it tells; nothing if it is another's. */
    List<CrashFact> take(SharedRow row) {
        if (!ROW.isOf(row.key())) {
            return List.of();
        }
        if (!row.exists()) {
            mWrittenAt.remove(row.key());
            return List.of();
        }
        Optional<Long> content = ROW.content(row.key());
        try {
            if (content.isPresent()) {
                return read(row, content.get());
            }
        } catch (NumberFormatException e) {
            // a number in the value; logged as the key's is
        }
        Event.of("suspect_row_malformed").with("row", row.key()).log();
        return List.of();
    }

    private List<CrashFact> read(SharedRow row, long content) {
        String[] fields = row.value().split(",");
        List<CrashFact> crashes = new ArrayList<>();
        for (int i = 1; i < fields.length; i++) {
            CrashFact f = new CrashFact(content, Integer.parseUnsignedInt(fields[i], 16));
            if (!f.isAnswered()) {
                crashes.add(f);
            }
        }
        mWrittenAt.put(row.key(), Long.parseLong(fields[0]));
        return crashes;
    }

    /** Removes rows that are of no use any more. */
    void sweep() {
        long now = mStoreMillis.get().orElse(0);
        for (Map.Entry<String, Long> e : List.copyOf(mWrittenAt.entrySet())) {
            if (now - e.getValue() >= KEPT_MILLIS) {
                mWrittenAt.remove(e.getKey());
                mRows.remove(e.getKey())
                        .exceptionally(x -> RowFollower.logNotWritten(e.getKey(), x));
            }
        }
    }
}
