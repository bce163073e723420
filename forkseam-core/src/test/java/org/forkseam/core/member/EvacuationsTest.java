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

/** Tests that late, duplicate and reordered updates do not change evacuations. */
class EvacuationsTest {
    private final Evacuations mState = Evacuations.create();

    private static StorePosition at(long revision) {
        return StorePosition.of(0, revision);
    }

    @Test
    void changesAddAndRemoveDomains() {
        assertThat(mState.replace(at(3), List.of("a", "b"), 0)).isTrue();
        assertThat(mState.applyChanges(at(5), Set.of("c"), Set.of("a"), 0)).isTrue();
        assertThat(mState.domains()).containsExactly("b", "c");
        assertThat(mState.applyChanges(at(6), Set.of("c"), Set.of("x"), 0)).isFalse();
        assertThat(mState.position()).isEqualTo(at(6));
    }

    @Test
    void olderStateIsIgnored() {
        mState.replace(at(5), List.of("a"), 0);
        assertThat(mState.replace(at(4), List.of(), 0)).isFalse();
        assertThat(mState.applyChanges(at(4), Set.of("b"), Set.of("a"), 0)).isFalse();
        assertThat(mState.domains()).containsExactly("a");
    }

    @Test
    void fingerprintIgnoresOrder() {
        mState.replace(at(1), List.of("b", "a"), 0);
        assertThat(mState.fingerprint()).isEqualTo(Evacuations.fingerprint(List.of("a", "b")));
        assertThat(mState.fingerprint()).isNotEqualTo(Evacuations.fingerprint(List.of("a")));
    }

    /**
     * Each message contains the whole state as of a revision; messages arrive reordered and
     * duplicated.
     */
    @Property(tries = 200)
    void anyMessageOrderConvergesToNewestState(@ForAll long seed) {
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

    // ---------------------------------------------------------------- restore from a backup

    private static final long REWRITE_GRACE_MILLIS = 2_100;

    private boolean replace(int era, long revision, long now, String... domains) {
        return mState.replace(StorePosition.of(era, revision), List.of(domains), now);
    }

    @Test
    void evacuationMissingAfterRestoreIsRetainedForGracePeriod() {
        replace(1, 50, 0, "a");
        replace(2, 30, 10);
        assertThat(mState.domains()).containsExactly("a");
        assertThat(mState.reported()).isEmpty();
        assertThat(mState.reconcile(10 + REWRITE_GRACE_MILLIS - 1)).isFalse();
        assertThat(mState.reconcile(10 + REWRITE_GRACE_MILLIS)).isTrue();
        assertThat(mState.domains()).isEmpty();
    }

    @Test
    void rewrittenEvacuationHoldsAtAnyRevision() {
        for (long revision : new long[] {31, 50, 60}) {
            Evacuations e = Evacuations.create();
            e.replace(StorePosition.of(1, 50), List.of("a"), 0);
            e.replace(StorePosition.of(2, 30), List.of(), 10);
            e.applyChanges(StorePosition.of(2, revision), Set.of("a"), Set.of(), 20);
            e.reconcile(10 + REWRITE_GRACE_MILLIS);
            assertThat(e.domains()).containsExactly("a");
        }
    }

    @Test
    void endedEvacuationIsNotRevivedByRestore() {
        replace(1, 40, 0, "a");
        mState.applyChanges(StorePosition.of(1, 50), Set.of(), Set.of("a"), 5);
        replace(2, 45, 10, "a");
        assertThat(mState.domains()).isEmpty();
        mState.applyChanges(StorePosition.of(2, 46), Set.of(), Set.of("a"), 20);
        assertThat(mState.reconcile(10 + REWRITE_GRACE_MILLIS)).isFalse();
        assertThat(mState.domains()).isEmpty();
    }

    /** If it is not ended again, the store's list takes effect after the grace period. */
    @Test
    void restoredEvacuationHoldsAfterGracePeriod() {
        replace(1, 40, 0, "a");
        mState.applyChanges(StorePosition.of(1, 50), Set.of(), Set.of("a"), 5);
        replace(2, 45, 10, "a");
        mState.reconcile(10 + REWRITE_GRACE_MILLIS);
        assertThat(mState.domains()).containsExactly("a");
    }

    /**
     * Changes made after the restore do not come from the backup, so they take effect immediately.
     */
    @Test
    void changeAfterRestoreTakesEffectImmediately() {
        replace(1, 40, 0, "a", "b");
        mState.applyChanges(StorePosition.of(1, 50), Set.of(), Set.of("b"), 5);
        replace(2, 45, 10, "a");
        assertThat(mState.applyChanges(StorePosition.of(2, 46), Set.of("b", "c"), Set.of("a"), 20))
                .isTrue();
        assertThat(mState.domains()).containsExactly("b", "c");
    }

    /** Most routers receive snapshots instead of changes. */
    @Test
    void changeAfterRestoreTakesEffectImmediatelyFromSnapshots() {
        replace(1, 40, 0, "a", "b");
        replace(1, 50, 5, "a");
        replace(2, 45, 10, "a");
        replace(2, 46, 20, "a", "b");
        assertThat(mState.domains()).containsExactly("a", "b");
        replace(2, 47, 30, "b");
        assertThat(mState.domains()).containsExactly("b");
    }

    @Test
    void secondRestoreRetainsEffectiveEvacuations() {
        replace(1, 40, 0, "a");
        replace(2, 30, 10);
        replace(3, 20, 1_000);
        assertThat(mState.reconcile(10 + REWRITE_GRACE_MILLIS)).isFalse();
        assertThat(mState.domains()).containsExactly("a");
        assertThat(mState.reconcile(1_000 + REWRITE_GRACE_MILLIS)).isTrue();
    }

    @Test
    void earlierEraIsIgnored() {
        replace(2, 5, 0, "a");
        assertThat(replace(1, 90, 10)).isFalse();
        assertThat(mState.applyChanges(StorePosition.of(1, 91), Set.of("b"), Set.of("a"), 10))
                .isFalse();
        assertThat(mState.domains()).containsExactly("a");
    }
}
