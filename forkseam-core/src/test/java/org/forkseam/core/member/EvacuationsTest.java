package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.forkseam.core.store.StorePosition;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/** Tests that what is told of evacuations late, twice or out of order changes nothing. */
class EvacuationsTest {
    private final Evacuations mState = Evacuations.create();

    private static StorePosition at(long revision) {
        return StorePosition.of(0, revision);
    }

    @Test
    void changesAddAndTakeAway() {
        assertThat(mState.replace(at(3), List.of("a", "b"), 0)).isTrue();
        assertThat(mState.change(at(5), Set.of("c"), Set.of("a"), 0)).isTrue();
        assertThat(mState.domains()).containsExactly("b", "c");
        assertThat(mState.change(at(6), Set.of("c"), Set.of("x"), 0)).isFalse();
        assertThat(mState.position()).isEqualTo(at(6));
    }

    @Test
    void whatIsOlderChangesNothing() {
        mState.replace(at(5), List.of("a"), 0);
        assertThat(mState.replace(at(4), List.of(), 0)).isFalse();
        assertThat(mState.change(at(4), Set.of("b"), Set.of("a"), 0)).isFalse();
        assertThat(mState.domains()).containsExactly("a");
    }

    @Test
    void theFingerprintIsThatOfTheSet() {
        mState.replace(at(1), List.of("b", "a"), 0);
        assertThat(mState.fingerprint()).isEqualTo(Evacuations.fingerprint(List.of("a", "b")));
        assertThat(mState.fingerprint()).isNotEqualTo(Evacuations.fingerprint(List.of("a")));
    }

    /** Messages hold the whole state as of a revision; they come in any order, some twice. */
    @Property(tries = 200)
    void anyOrderOfMessagesEndsInTheNewestState(@ForAll long seed) {
        Random random = new Random(seed);
        List<Set<String>> states = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Set<String> s = new TreeSet<>();
            random.ints(3, 0, 4).forEach(d -> s.add("d" + d));
            states.add(s);
        }
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            order.add(i);
            order.add(random.nextInt(8));
        }
        Collections.shuffle(order, random);
        Evacuations e = Evacuations.create();
        order.forEach(i -> e.replace(at(i), states.get(i), 0));
        assertThat(e.domains()).isEqualTo(states.get(7));
    }

    // ---------------------------------------------------------------- a source that goes back

    private static final long WRITTEN_AGAIN_MILLIS = 2_100;

    private boolean replace(int era, long revision, long now, String... domains) {
        return mState.replace(StorePosition.of(era, revision), List.of(domains), now);
    }

    @Test
    void whatTheCopyLacksHoldsUntilItIsDue() {
        replace(1, 50, 0, "a");
        replace(2, 30, 10);
        assertThat(mState.domains()).containsExactly("a");
        assertThat(mState.told()).isEmpty();
        assertThat(mState.settle(10 + WRITTEN_AGAIN_MILLIS - 1)).isFalse();
        assertThat(mState.settle(10 + WRITTEN_AGAIN_MILLIS)).isTrue();
        assertThat(mState.domains()).isEmpty();
    }

    @Test
    void whatIsWrittenAgainHoldsWhateverItsRevision() {
        for (long revision : new long[] {31, 50, 60}) {
            Evacuations e = Evacuations.create();
            e.replace(StorePosition.of(1, 50), List.of("a"), 0);
            e.replace(StorePosition.of(2, 30), List.of(), 10);
            e.change(StorePosition.of(2, revision), Set.of("a"), Set.of(), 20);
            e.settle(10 + WRITTEN_AGAIN_MILLIS);
            assertThat(e.domains()).containsExactly("a");
        }
    }

    @Test
    void whatWasTakenBackIsNotInForceAgainByTheCopy() {
        replace(1, 40, 0, "a");
        mState.change(StorePosition.of(1, 50), Set.of(), Set.of("a"), 5);
        replace(2, 45, 10, "a");
        assertThat(mState.domains()).isEmpty();
        mState.change(StorePosition.of(2, 46), Set.of(), Set.of("a"), 20);
        assertThat(mState.settle(10 + WRITTEN_AGAIN_MILLIS)).isFalse();
        assertThat(mState.domains()).isEmpty();
    }

    /** It was not written again: the store's word alone holds after a while. */
    @Test
    void whatTheCopyBringsBackHoldsOnceItIsDue() {
        replace(1, 40, 0, "a");
        mState.change(StorePosition.of(1, 50), Set.of(), Set.of("a"), 5);
        replace(2, 45, 10, "a");
        mState.settle(10 + WRITTEN_AGAIN_MILLIS);
        assertThat(mState.domains()).containsExactly("a");
    }

    /** What operators ask after the return is no copy: it holds at once, both ways. */
    @Test
    void whatIsAskedAnewHoldsAtOnce() {
        replace(1, 40, 0, "a", "b");
        mState.change(StorePosition.of(1, 50), Set.of(), Set.of("b"), 5);
        replace(2, 45, 10, "a");
        assertThat(mState.change(StorePosition.of(2, 46), Set.of("b", "c"), Set.of("a"), 20))
                .isTrue();
        assertThat(mState.domains()).containsExactly("b", "c");
    }

    /** Most routers are told the whole, and not what has changed. */
    @Test
    void whatIsAskedAnewHoldsAtOnceAlsoIfToldWhole() {
        replace(1, 40, 0, "a", "b");
        replace(1, 50, 5, "a");
        replace(2, 45, 10, "a");
        replace(2, 46, 20, "a", "b");
        assertThat(mState.domains()).containsExactly("a", "b");
        replace(2, 47, 30, "b");
        assertThat(mState.domains()).containsExactly("b");
    }

    @Test
    void aSecondReturnHoldsWhatIsInForce() {
        replace(1, 40, 0, "a");
        replace(2, 30, 10);
        replace(3, 20, 1_000);
        assertThat(mState.settle(10 + WRITTEN_AGAIN_MILLIS)).isFalse();
        assertThat(mState.domains()).containsExactly("a");
        assertThat(mState.settle(1_000 + WRITTEN_AGAIN_MILLIS)).isTrue();
    }

    @Test
    void anEarlierEraChangesNothing() {
        replace(2, 5, 0, "a");
        assertThat(replace(1, 90, 10)).isFalse();
        assertThat(mState.change(StorePosition.of(1, 91), Set.of("b"), Set.of("a"), 10)).isFalse();
        assertThat(mState.domains()).containsExactly("a");
    }
}
