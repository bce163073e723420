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

/** Tests what holds of the rows that routers share when the store comes back from a copy. */
class RowTableTest {
    private final RowTable mTable = new RowTable();

    private static SharedRow row(int era, long revision, String key, String value) {
        return new SharedRow(key, value, StorePosition.of(era, revision));
    }

    /** Lets the store come back in era 2, with such rows. */
    private List<SharedRow> comeBack(long since, SharedRow... rows) {
        List<SharedRow> differing = mTable.differing(List.of(rows), 2);
        return mTable.turn(StorePosition.of(1, since), 2, differing);
    }

    @Example
    void aRowThatTheCopyHoldsIsKnownAtItsNewPosition() {
        mTable.take(row(1, 5, "a", "x"));
        assertThat(comeBack(9, row(2, 5, "a", "x"))).isEmpty();
        assertThat(mTable.find("a").orElseThrow().position()).isEqualTo(StorePosition.of(2, 5));
        assertThat(mTable.ahead()).isEmpty();
    }

    @Example
    void anOlderRowDoesNotTakeThePlaceOfTheNewest() {
        mTable.take(row(1, 8, "a", "new"));
        assertThat(comeBack(9, row(2, 5, "a", "old"))).isEmpty();
        assertThat(mTable.ahead()).containsExactly(row(2, 5, "a", "new"));
        assertThat(mTable.take(row(2, 7, "a", "new"))).isTrue(); // written again
        assertThat(mTable.ahead()).isEmpty();
    }

    @Example
    void aRowThatTheCopyLacksHolds() {
        mTable.take(row(1, 8, "a", "new"));
        comeBack(9);
        assertThat(mTable.ahead()).containsExactly(row(2, 0, "a", "new"));
        assertThat(mTable.take(SharedRow.absent("a", 2))).isFalse();
        assertThat(mTable.take(row(2, 6, "a", "another's"))).isTrue();
        assertThat(mTable.find("a").orElseThrow().value()).isEqualTo("another's");
    }

    /** Revisions are given out again: the same one may stand for other content. */
    @Example
    void aRevisionThatIsGivenOutAgainIsNoSameRow() {
        mTable.take(row(1, 8, "a", "mine"));
        comeBack(9, row(2, 8, "a", "another's"));
        assertThat(mTable.isAhead("a")).isTrue();
    }

    @Example
    void whatHadBeenRemovedDoesNotComeBack() {
        mTable.take(row(1, 4, "a", "x"));
        mTable.take(SharedRow.absent("a", 1));
        assertThat(comeBack(9, row(2, 4, "a", "x"))).isEmpty();
        assertThat(mTable.find("a").isPresent()).isFalse();
        assertThat(mTable.takeRevived()).containsExactly(row(2, 4, "a", "x"));
        assertThat(mTable.takeRevived()).isEmpty();
    }

    /**
     * Another router has removed it again, and it has been written anew: at the next return this
     * router would remove a row that is there to stay.
     */
    @Example
    void whatWasRevivedOnceAndWrittenAnewIsNotRemovedAtTheNextReturn() {
        mTable.take(row(1, 4, "a", "x"));
        mTable.take(SharedRow.absent("a", 1));
        comeBack(9, row(2, 4, "a", "x"));
        mTable.take(row(2, 6, "a", "new"));
        List<SharedRow> read = List.of(row(3, 6, "a", "new"));
        mTable.turn(StorePosition.of(2, 9), 3, mTable.differing(read, 3));
        assertThat(mTable.takeRevived()).isEmpty();
        assertThat(mTable.find("a").orElseThrow().value()).isEqualTo("new");
    }

    @Example
    void whatIsToldOfAnEarlierEraChangesNothing() {
        mTable.take(row(1, 4, "a", "x"));
        comeBack(9, row(2, 4, "a", "x"));
        assertThat(mTable.take(row(1, 50, "a", "late"))).isFalse();
        assertThat(mTable.take(SharedRow.absent("a", 1))).isFalse();
        assertThat(mTable.find("a").orElseThrow().value()).isEqualTo("x");
    }

    /**
     * It was told by its writer alone: the teller of the return cannot know whether it is there.
     */
    @Example
    void aRowThatTheTellerDidNotKnowIsWrittenAgain() {
        mTable.take(row(1, 12, "a", "x"));
        mTable.turn(StorePosition.of(1, 9), 2, List.of());
        assertThat(mTable.ahead()).containsExactly(row(2, 0, "a", "x"));
    }

    /** Its writer has told of it before anybody told of the return. */
    @Example
    void aRowWrittenAfterTheReturnIsNotTakenForALostOne() {
        mTable.take(row(1, 5, "a", "x"));
        mTable.take(row(2, 7, "a", "y"));
        mTable.turn(StorePosition.of(1, 9), 2, List.of(row(2, 4, "a", "w")));
        assertThat(mTable.ahead()).isEmpty();
        assertThat(mTable.find("a").orElseThrow()).isEqualTo(row(2, 7, "a", "y"));
    }

    /**
     * Two routers that know the same: one reads all after the return, the other takes what that one
     * tells. Whatever the copy holds, both know the same again, and nothing newer is lost.
     */
    @Property(tries = 300, seed = "42", shrinking = ShrinkingMode.OFF)
    void whoeverIsToldKnowsWhatTheReaderKnows(@ForAll long seed) {
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
                reader.take(r);
                other.take(r);
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
            List<SharedRow> differing = reader.differing(read, era + 1);
            assertThat(other.turn(since, era + 1, differing))
                    .isEqualTo(reader.turn(since, era + 1, differing));
            assertThat(other.known()).containsExactlyElementsIn(reader.known());
            assertThat(other.ahead()).containsExactlyElementsIn(reader.ahead());
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
        t.known().forEach(r -> m.put(r.key(), r));
        return m;
    }
}
