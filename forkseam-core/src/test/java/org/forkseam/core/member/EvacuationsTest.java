package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

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

    @Test
    void changesAddAndTakeAway() {
        assertThat(mState.replace(3, List.of("a", "b"))).isTrue();
        assertThat(mState.change(5, Set.of("c"), Set.of("a"))).isTrue();
        assertThat(mState.domains()).containsExactly("b", "c");
        assertThat(mState.change(6, Set.of("c"), Set.of("x"))).isFalse();
        assertThat(mState.revision()).isEqualTo(6);
    }

    @Test
    void whatIsOlderChangesNothing() {
        mState.replace(5, List.of("a"));
        assertThat(mState.replace(4, List.of())).isFalse();
        assertThat(mState.change(4, Set.of("b"), Set.of("a"))).isFalse();
        assertThat(mState.domains()).containsExactly("a");
    }

    @Test
    void theFingerprintIsThatOfTheSet() {
        mState.replace(1, List.of("b", "a"));
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
        order.forEach(i -> e.replace(i, states.get(i)));
        assertThat(e.domains()).isEqualTo(states.get(7));
    }
}
