package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.store.StorePosition;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;

/** Tests the state of targets after target list updates. */
class TargetDirectoryTest {
    private static final long NOW = 20;

    private final TargetDirectory mDirectory = TargetDirectory.create();

    private static TargetEntry entry(String id, boolean leaving) {
        return new TargetEntry(id, "pool", "10.0.0.1:1", "z", 8, leaving, 0);
    }

    private boolean acceptsRequests(String id) {
        return mDirectory.find(id).map(t -> t.acceptsRequests(NOW)).orElse(false);
    }

    @Test
    void leavingTargetAcceptsNoRequests() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        mDirectory.apply(StorePosition.of(0, 2), List.of(entry("a", true)), 10);
        assertThat(acceptsRequests("a")).isFalse();
    }

    @Test
    void unlistedTargetAcceptsNoRequests() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        Target a = mDirectory.find("a").orElseThrow();
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 10);
        assertThat(acceptsRequests("a")).isFalse();
        assertThat(a.acceptsRequests(NOW)).isFalse();
    }

    @Test
    void olderListIsIgnored() {
        mDirectory.apply(StorePosition.of(0, 5), List.of(entry("a", true)), 0);
        assertThat(mDirectory.apply(StorePosition.of(0, 4), List.of(entry("a", false)), 10))
                .isEmpty();
        assertThat(acceptsRequests("a")).isFalse();
    }

    @Test
    void entriesExpiredDuringAnOutageAreRetained() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        mDirectory.onSourceRecovered(6_000, 5_000);
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 6_010);
        assertThat(acceptsRequests("a")).isTrue();
        mDirectory.apply(StorePosition.of(0, 3), List.of(), 8_200);
        assertThat(acceptsRequests("a")).isFalse();
    }

    /** An outage too short for entries to expire must not delay the removal of targets. */
    @Test
    void shortOutageRetainsNothing() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        mDirectory.onSourceRecovered(1_200, 1_100);
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 1_210);
        assertThat(acceptsRequests("a")).isFalse();
    }

    /** Without this report, an unchanged list would retain expired entries forever. */
    @Test
    void retainedEntriesAreReported() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        assertThat(mDirectory.retainsUnlisted()).isFalse();
        mDirectory.onSourceRecovered(6_000, 5_000);
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 6_010);
        assertThat(mDirectory.retainsUnlisted()).isTrue();
        mDirectory.apply(StorePosition.of(0, 2), List.of(), 8_200);
        assertThat(mDirectory.retainsUnlisted()).isFalse();
    }

    @Test
    void changesAreReturned() {
        assertThat(mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0))
                .containsExactly(new TargetChange(entry("a", false), TargetChange.Kind.JOINED));
        assertThat(mDirectory.apply(StorePosition.of(0, 2), List.of(entry("a", true)), 1))
                .containsExactly(new TargetChange(entry("a", true), TargetChange.Kind.LEAVING));
        assertThat(mDirectory.apply(StorePosition.of(0, 3), List.of(), 2))
                .containsExactly(new TargetChange(entry("a", true), TargetChange.Kind.GONE));
    }

    @Test
    void evacuatedTargetsStayInPoolWithoutRequests() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a", false)), 0);
        mDirectory.setEvacuatedDomains(Set.of("z"), 5);
        mDirectory.apply(
                StorePosition.of(0, 2), List.of(entry("a", false), entry("late", false)), 10);
        assertThat(acceptsRequests("a")).isFalse();
        assertThat(acceptsRequests("late")).isFalse();
        assertThat(mDirectory.find("a").orElseThrow().isPoolMember()).isTrue();
        mDirectory.setEvacuatedDomains(Set.of("other"), 20);
        assertThat(acceptsRequests("a")).isTrue();
        assertThat(acceptsRequests("late")).isTrue();
    }

    // ---------------------------------------------------------------- incarnations

    private static TargetEntry born(String id, long millis) {
        return new TargetEntry(id, "pool", "10.0.0.1:1", "z", 8, false, 0, millis);
    }

    private Target a() {
        return mDirectory.find("a").orElseThrow();
    }

    /** No state of the previous incarnation is carried over. */
    @Test
    void restartResetsState() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(born("a", 5_000)), 0);
        Target previous = a();
        previous.onRequestSent(10);
        previous.onLoadReported(40, 10);
        previous.onRequestRefused(10);
        previous.health().onFailure(10);
        previous.onReplaced();
        List<TargetChange> changes =
                mDirectory.apply(StorePosition.of(0, 2), List.of(born("a", 6_000)), 20);
        assertThat(changes)
                .containsExactly(new TargetChange(born("a", 6_000), TargetChange.Kind.RESTARTED));
        assertThat(a()).isNotSameInstanceAs(previous);
        assertThat(a().acceptsRequests(NOW)).isTrue();
        assertThat(a().inFlight()).isEqualTo(0);
        assertThat(a().loadReportAgeMillis(20)).isEqualTo(-1);
        assertThat(a().isFull(20)).isFalse();
        assertThat(a().health().trafficShare(20)).isEqualTo(1.0);
        assertThat(previous.acceptsRequests(NOW)).isFalse();
    }

    /** The clock of a host may step back, so the newer list decides. */
    @Test
    void laterIncarnationMayHaveEarlierStartTime() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(born("a", 6_000)), 0);
        mDirectory.apply(StorePosition.of(0, 3), List.of(born("a", 4_000)), 10);
        assertThat(a().entry().born()).isEqualTo(4_000);
        assertThat(mDirectory.apply(StorePosition.of(0, 2), List.of(born("a", 6_000)), 20))
                .isEmpty();
        assertThat(a().entry().born()).isEqualTo(4_000);
    }

    /** Late reports about an earlier incarnation must not be applied to the current one. */
    @Test
    void hashOfEarlierIncarnationFindsNoTarget() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(born("a", 5_000)), 0);
        int earlierHash = a().shortHash();
        mDirectory.apply(StorePosition.of(0, 2), List.of(born("a", 6_000)), 10);
        assertThat(mDirectory.findByShortHash(earlierHash).isPresent()).isFalse();
        assertThat(mDirectory.findByShortHash(a().shortHash()).isPresent()).isTrue();
        assertThat(mDirectory.findReachable(new TargetIncarnation("a", 5_000), 10).isPresent())
                .isFalse();
        assertThat(mDirectory.findReachable(new TargetIncarnation("a", 6_000), 10).isPresent())
                .isTrue();
    }

    @Test
    void expiredEntryMayReturnWithSameOrNewIncarnation() {
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

    @Test
    void restartedTargetStaysEvacuated() {
        mDirectory.setEvacuatedDomains(Set.of("z"), 0);
        mDirectory.apply(StorePosition.of(0, 1), List.of(born("a", 5_000)), 0);
        mDirectory.apply(StorePosition.of(0, 2), List.of(born("a", 6_000)), 10);
        assertThat(a().acceptsRequests(NOW)).isFalse();
    }
}
