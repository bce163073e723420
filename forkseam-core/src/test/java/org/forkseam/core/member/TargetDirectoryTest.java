package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.store.StorePosition;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;

/** Tests what is believed of targets by the lists read. */
class TargetDirectoryTest {
    private static final long NOW = 20;

    private final TargetDirectory mDirectory = TargetDirectory.create();

    private static TargetEntry entry(String id, boolean leaving) {
        return new TargetEntry(id, "pool", "10.0.0.1:1", "z", 8, leaving, 0);
    }

    private boolean takesWork(String id) {
        return mDirectory.find(id).map(t -> t.takesWork(NOW)).orElse(false);
    }

    @Test
    void aLeavingTargetTakesNoWork() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        mDirectory.apply(StorePosition.of(0, 2), List.of(entry("a", true)), 10);
        assertThat(takesWork("a")).isFalse();
    }

    @Test
    void aMissingTargetTakesNoWork() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        Target a = mDirectory.find("a").orElseThrow();
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 10);
        assertThat(takesWork("a")).isFalse();
        assertThat(a.takesWork(NOW)).isFalse();
    }

    @Test
    void anOlderListChangesNothing() {
        mDirectory.apply(StorePosition.of(0, 5), List.of(entry("a", true)), 0);
        assertThat(mDirectory.apply(StorePosition.of(0, 4), List.of(entry("a", false)), 10))
                .isEmpty();
        assertThat(takesWork("a")).isFalse();
    }

    @Test
    void entriesThatLapsedInAnOutageAreKeptUntilTheyAreBack() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        mDirectory.onSourceBack(6_000, 5_000);
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 6_010);
        assertThat(takesWork("a")).isTrue();
        mDirectory.apply(StorePosition.of(0, 3), List.of(), 8_200);
        assertThat(takesWork("a")).isFalse();
    }

    /** One failed call to the store kept targets that had left for two seconds. */
    @Test
    void aFailedCallIsNoOutage() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        mDirectory.onSourceBack(1_200, 1_100);
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 1_210);
        assertThat(takesWork("a")).isFalse();
    }

    /**
     * A list told by a peer to be unchanged kept a lapsed entry for good: what is kept for a while
     * must be looked at again.
     */
    @Test
    void keptEntriesAreToBeLookedAtAgain() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        assertThat(mDirectory.keepsMissing()).isFalse();
        mDirectory.onSourceBack(6_000, 5_000);
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 6_010);
        assertThat(mDirectory.keepsMissing()).isTrue();
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 8_200);
        assertThat(mDirectory.keepsMissing()).isFalse();
    }

    @Test
    void changesAreTold() {
        assertThat(mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0))
                .containsExactly(new TargetChange(entry("a", false), TargetChange.Kind.JOINED));
        assertThat(mDirectory.apply(StorePosition.of(0, 2), List.of(entry("a", true)), 1))
                .containsExactly(new TargetChange(entry("a", true), TargetChange.Kind.LEAVING));
        assertThat(mDirectory.apply(StorePosition.of(0, 3), List.of(), 2))
                .containsExactly(new TargetChange(entry("a", true), TargetChange.Kind.GONE));
    }

    @Test
    void targetsOfAnEvacuatedDomainStayAndTakeNoWork() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        mDirectory.setEvacuated(Set.of("z"), 5);
        mDirectory.apply(
                StorePosition.of(0, 2), List.of(entry("a", false), entry("late", false)), 10);
        assertThat(takesWork("a")).isFalse();
        assertThat(takesWork("late")).isFalse();
        assertThat(mDirectory.find("a").orElseThrow().stays()).isTrue();
        mDirectory.setEvacuated(Set.of("other"), 20);
        assertThat(takesWork("a")).isTrue();
        assertThat(takesWork("late")).isTrue();
    }

    // ---------------------------------------------------------------- starts under the same id

    private static TargetEntry born(String id, long millis) {
        return new TargetEntry(id, "pool", "10.0.0.1:1", "z", 8, false, 0, millis);
    }

    private Target a() {
        return mDirectory.find("a").orElseThrow();
    }

    /** Nothing that was learned of a target holds once it has started again. */
    @Test
    void aTargetThatStartsAgainBeginsAnew() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(born("a", 5_000)), 0);
        Target before = a();
        before.onSent(10);
        before.onLoad(40, 10);
        before.onRefused(10);
        before.health().onFailure(10);
        before.onReplaced();
        List<TargetChange> changes =
                mDirectory.apply(StorePosition.of(0, 2), List.of(born("a", 6_000)), 20);
        assertThat(changes)
                .containsExactly(new TargetChange(born("a", 6_000), TargetChange.Kind.RESTARTED));
        assertThat(a()).isNotSameInstanceAs(before);
        assertThat(a().takesWork(NOW)).isTrue();
        assertThat(a().inFlight()).isEqualTo(0);
        assertThat(a().readingAgeMillis(20)).isEqualTo(-1);
        assertThat(a().isFull(20)).isFalse();
        assertThat(a().health().share(20)).isEqualTo(1.0);
        assertThat(before.takesWork(NOW)).isFalse();
    }

    /** The time of day of a host may have stepped back: the newer list decides. */
    @Test
    void aLaterStartMayHaveASmallerNumber() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(born("a", 6_000)), 0);
        mDirectory.apply(StorePosition.of(0, 3), List.of(born("a", 4_000)), 10);
        assertThat(a().entry().born()).isEqualTo(4_000);
        assertThat(mDirectory.apply(StorePosition.of(0, 2), List.of(born("a", 6_000)), 20))
                .isEmpty();
        assertThat(a().entry().born()).isEqualTo(4_000);
    }

    /** What other routers told of the start before arrives late, and names nothing any more. */
    @Test
    void newsOfAnEarlierStartNameNoTarget() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(born("a", 5_000)), 0);
        int earlier = a().shortHash();
        mDirectory.apply(StorePosition.of(0, 2), List.of(born("a", 6_000)), 10);
        assertThat(mDirectory.findByShortHash(earlier).isPresent()).isFalse();
        assertThat(mDirectory.findByShortHash(a().shortHash()).isPresent()).isTrue();
        assertThat(mDirectory.findReachable(new TargetStart("a", 5_000), 10).isPresent()).isFalse();
        assertThat(mDirectory.findReachable(new TargetStart("a", 6_000), 10).isPresent()).isTrue();
    }

    @Test
    void anEntryThatLapsedMayComeBackWithTheSameStartOrAnother() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(born("a", 5_000), born("b", 5_000)), 0);
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 10);
        assertThat(
                        mDirectory.apply(
                                StorePosition.of(0, 3),
                                List.of(born("a", 5_000), born("b", 7_000)),
                                20))
                .containsExactly(
                        new TargetChange(born("a", 5_000), TargetChange.Kind.JOINED),
                        new TargetChange(born("b", 7_000), TargetChange.Kind.RESTARTED));
    }

    /** An evacuated domain stays evacuated whatever its targets do. */
    @Test
    void aTargetThatStartsAgainStaysEvacuated() {
        mDirectory.setEvacuated(Set.of("z"), 0);
        mDirectory.apply(StorePosition.of(0, 1), List.of(born("a", 5_000)), 0);
        mDirectory.apply(StorePosition.of(0, 2), List.of(born("a", 6_000)), 10);
        assertThat(a().takesWork(NOW)).isFalse();
    }
}
