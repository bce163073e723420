package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import org.forkseam.core.store.StorePosition;
import org.forkseam.direct.spi.SharedRow;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** Tests which rows remain valid after the store was restored from a backup. */
class RowTableTest {
    private final RowTable mTable = new RowTable();

    private static SharedRow row(int era, long revision, String key, String value) {
        return new SharedRow(key, value, StorePosition.of(era, revision));
    }

    /** Restores the store in era 2 with these rows. */
    private List<SharedRow> restoreStore(long since, SharedRow... rows) {
        List<SharedRow> differing = mTable.diff(List.of(rows), 2);
        return mTable.advanceEra(StorePosition.of(1, since), 2, differing);
    }

    @Example
    void aRowInTheBackupMovesToItsNewPosition() {
        mTable.apply(row(1, 5, "a", "x"));
        assertThat(restoreStore(9, row(2, 5, "a", "x"))).isEmpty();
        assertThat(mTable.find("a").orElseThrow().position()).isEqualTo(StorePosition.of(2, 5));
        assertThat(mTable.unsynced()).isEmpty();
    }

    @Example
    void anOlderRowDoesNotReplaceTheNewest() {
        mTable.apply(row(1, 8, "a", "new"));
        assertThat(restoreStore(9, row(2, 5, "a", "old"))).isEmpty();
        assertThat(mTable.unsynced()).containsExactly(row(2, 5, "a", "new"));
        assertThat(mTable.apply(row(2, 7, "a", "new"))).isTrue(); // written again
        assertThat(mTable.unsynced()).isEmpty();
    }

    @Example
    void aRowMissingFromTheBackupIsKept() {
        mTable.apply(row(1, 8, "a", "new"));
        restoreStore(9);
        assertThat(mTable.unsynced()).containsExactly(row(2, 0, "a", "new"));
        assertThat(mTable.apply(SharedRow.absent("a", 2))).isFalse();
        assertThat(mTable.apply(row(2, 6, "a", "another's"))).isTrue();
        assertThat(mTable.find("a").orElseThrow().value()).isEqualTo("another's");
    }

    /** A restored store reuses revisions, so an equal revision does not mean equal content. */
    @Example
    void aReusedRevisionWithOtherContentIsADifference() {
        mTable.apply(row(1, 8, "a", "mine"));
        restoreStore(9, row(2, 8, "a", "another's"));
        assertThat(mTable.isUnsynced("a")).isTrue();
    }

    @Example
    void aRemovedRowIsNotResurrected() {
        mTable.apply(row(1, 4, "a", "x"));
        mTable.apply(SharedRow.absent("a", 1));
        assertThat(restoreStore(9, row(2, 4, "a", "x"))).isEmpty();
        assertThat(mTable.find("a").isPresent()).isFalse();
        assertThat(mTable.drainResurrected()).containsExactly(row(2, 4, "a", "x"));
        assertThat(mTable.drainResurrected()).isEmpty();
    }

    /** A stale list of resurrected rows would remove a row that was written again. */
    @Example
    void aResurrectedRowWrittenAgainIsKeptAtTheNextRestore() {
        mTable.apply(row(1, 4, "a", "x"));
        mTable.apply(SharedRow.absent("a", 1));
        restoreStore(9, row(2, 4, "a", "x"));
        mTable.apply(row(2, 6, "a", "new"));
        List<SharedRow> read = List.of(row(3, 6, "a", "new"));
        mTable.advanceEra(StorePosition.of(2, 9), 3, mTable.diff(read, 3));
        assertThat(mTable.drainResurrected()).isEmpty();
        assertThat(mTable.find("a").orElseThrow().value()).isEqualTo("new");
    }

    @Example
    void rowsOfAnEarlierEraAreIgnored() {
        mTable.apply(row(1, 4, "a", "x"));
        restoreStore(9, row(2, 4, "a", "x"));
        assertThat(mTable.apply(row(1, 50, "a", "late"))).isFalse();
        assertThat(mTable.apply(SharedRow.absent("a", 1))).isFalse();
        assertThat(mTable.find("a").orElseThrow().value()).isEqualTo("x");
    }

    /**
     * Whether the store has a row is unknown if only its writer announced it and the router that
     * computed the difference did not know it.
     */
    @Example
    void aRowUnknownToTheReaderIsUnsynced() {
        mTable.apply(row(1, 12, "a", "x"));
        mTable.advanceEra(StorePosition.of(1, 9), 2, List.of());
        assertThat(mTable.unsynced()).containsExactly(row(2, 0, "a", "x"));
    }

    /** The announcement of a write may arrive before that of the restore. */
    @Example
    void aRowWrittenAfterTheRestoreIsNotUnsynced() {
        mTable.apply(row(1, 5, "a", "x"));
        mTable.apply(row(2, 7, "a", "y"));
        mTable.advanceEra(StorePosition.of(1, 9), 2, List.of(row(2, 4, "a", "w")));
        assertThat(mTable.unsynced()).isEmpty();
        assertThat(mTable.find("a").orElseThrow()).isEqualTo(row(2, 7, "a", "y"));
    }

    /**
     * A table updated by a difference must equal the table that computed it, and neither may lose
     * newer values.
     */
    @Property(tries = 300, seed = "42", shrinking = ShrinkingMode.OFF)
    void applyingADiffMatchesTheReadersTable(@ForAll long seed) {
        Random random = new Random(seed);
        RowTable reader = new RowTable();
        RowTable other = new RowTable();
        Map<String, SharedRow> store = new TreeMap<>();
        Map<String, SharedRow> copy = new TreeMap<>();
        long revision = 0;
        long copied = 0;
        for (int era = 1; era <= 4; era++) {
            for (int i = 0; i < 12; i++) {
                String key = "k" + random.nextInt(5);
                revision++;
                SharedRow r =
                        random.nextInt(4) == 0
                                ? SharedRow.absent(key, era)
                                : row(era, revision, key, "v" + random.nextInt(3));
                reader.apply(r);
                other.apply(r);
                store.put(key, r);
                if (random.nextInt(6) == 0) {
                    copy = new TreeMap<>(store);
                    copied = revision;
                }
            }
            Map<String, SharedRow> before = contents(reader);
            StorePosition since = StorePosition.of(era, revision);
            List<SharedRow> read = new ArrayList<>();
            for (SharedRow r : copy.values()) {
                if (r.exists()) {
                    read.add(r.withPosition(StorePosition.of(era + 1, r.position().revision())));
                }
            }
            Collections.shuffle(read, random);
            List<SharedRow> differing = reader.diff(read, era + 1);
            assertThat(other.advanceEra(since, era + 1, differing))
                    .isEqualTo(reader.advanceEra(since, era + 1, differing));
            assertThat(other.rows()).containsExactlyElementsIn(reader.rows());
            assertThat(other.unsynced()).containsExactlyElementsIn(reader.unsynced());
            before.forEach(
                    (key, r) ->
                            assertThat(reader.find(key).orElseThrow().value())
                                    .isEqualTo(r.value()));
            store.clear();
            read.forEach(r -> store.put(r.key(), r));
            copy = new TreeMap<>(store);
            revision = copied;
        }
    }

    private static Map<String, SharedRow> contents(RowTable t) {
        Map<String, SharedRow> m = new TreeMap<>();
        t.rows().forEach(r -> m.put(r.key(), r));
        return m;
    }
}
