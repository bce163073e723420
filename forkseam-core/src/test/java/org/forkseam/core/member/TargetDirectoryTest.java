package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;

/** Tests what is believed of targets by the lists read. */
class TargetDirectoryTest {
    private final TargetDirectory mDirectory = TargetDirectory.create();

    private static TargetEntry entry(String id, boolean leaving) {
        return new TargetEntry(id, "pool", "10.0.0.1:1", "z", 8, leaving, 0);
    }

    private boolean takesWork(String id) {
        return mDirectory.find(id).map(Target::takesWork).orElse(false);
    }

    @Test
    void aLeavingTargetTakesNoWork() {
        mDirectory.apply(1, List.of(entry("a", false)), 0);
        mDirectory.apply(2, List.of(entry("a", true)), 10);
        assertThat(takesWork("a")).isFalse();
    }

    @Test
    void aMissingTargetTakesNoWork() {
        mDirectory.apply(1, List.of(entry("a", false)), 0);
        Target a = mDirectory.find("a").orElseThrow();
        mDirectory.apply(2, List.of(), 10);
        assertThat(takesWork("a")).isFalse();
        assertThat(a.takesWork()).isFalse();
    }

    @Test
    void anOlderListChangesNothing() {
        mDirectory.apply(5, List.of(entry("a", true)), 0);
        assertThat(mDirectory.apply(4, List.of(entry("a", false)), 10)).isEmpty();
        assertThat(takesWork("a")).isFalse();
    }

    @Test
    void entriesThatLapsedInAnOutageAreKeptUntilTheyAreBack() {
        mDirectory.apply(1, List.of(entry("a", false)), 0);
        mDirectory.onSourceBack(6_000, 5_000);
        mDirectory.apply(2, List.of(), 6_010);
        assertThat(takesWork("a")).isTrue();
        mDirectory.apply(3, List.of(), 8_200);
        assertThat(takesWork("a")).isFalse();
    }

    /** One failed call to the store kept targets that had left for two seconds. */
    @Test
    void aFailedCallIsNoOutage() {
        mDirectory.apply(1, List.of(entry("a", false)), 0);
        mDirectory.onSourceBack(1_200, 1_100);
        mDirectory.apply(2, List.of(), 1_210);
        assertThat(takesWork("a")).isFalse();
    }

    /**
     * A list told by a peer to be unchanged kept a lapsed entry for good: what is kept for a while
     * must be looked at again.
     */
    @Test
    void keptEntriesAreToBeLookedAtAgain() {
        mDirectory.apply(1, List.of(entry("a", false)), 0);
        assertThat(mDirectory.keepsMissing()).isFalse();
        mDirectory.onSourceBack(6_000, 5_000);
        mDirectory.apply(2, List.of(), 6_010);
        assertThat(mDirectory.keepsMissing()).isTrue();
        mDirectory.apply(2, List.of(), 8_200);
        assertThat(mDirectory.keepsMissing()).isFalse();
    }

    @Test
    void changesAreTold() {
        assertThat(mDirectory.apply(1, List.of(entry("a", false)), 0))
                .containsExactly(new TargetChange(entry("a", false), TargetChange.Kind.JOINED));
        assertThat(mDirectory.apply(2, List.of(entry("a", true)), 1))
                .containsExactly(new TargetChange(entry("a", true), TargetChange.Kind.LEAVING));
        assertThat(mDirectory.apply(3, List.of(), 2))
                .containsExactly(new TargetChange(entry("a", true), TargetChange.Kind.GONE));
    }

    @Test
    void targetsOfAnEvacuatedDomainStayAndTakeNoWork() {
        mDirectory.apply(1, List.of(entry("a", false)), 0);
        mDirectory.setEvacuated(Set.of("z"), 5);
        mDirectory.apply(2, List.of(entry("a", false), entry("late", false)), 10);
        assertThat(takesWork("a")).isFalse();
        assertThat(takesWork("late")).isFalse();
        assertThat(mDirectory.find("a").orElseThrow().stays()).isTrue();
        mDirectory.setEvacuated(Set.of("other"), 20);
        assertThat(takesWork("a")).isTrue();
        assertThat(takesWork("late")).isTrue();
    }
}
