package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.load.ReportedLoad;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.IntFunction;

/** Tests the exchange of load readings between routers. */
class LoadGossipTest {
    private static Target target(String id) {
        return Target.of(new TargetEntry(id, "p", "10.0.0.1:1", "a", 12, false, 0));
    }

    private static IntFunction<Optional<Target>> only(Target t) {
        return hash -> hash == t.shortHash() ? Optional.of(t) : Optional.empty();
    }

    @Test
    void readingReachesARouterWithoutRequests() {
        Target sender = target("i");
        sender.onLoadReported(9, 1_000);
        Target receiver = target("i");
        LoadGossip.apply(LoadGossip.newestReadings(List.of(sender), 1_200), only(receiver), 5_000);
        assertThat(receiver.othersInFlight(5_000)).isEqualTo(9);
        assertThat(receiver.loadReportAgeMillis(5_000)).isEqualTo(200);
    }

    @Test
    void queueAndSlowdownReachARouterWithoutRequests() {
        Target sender = target("i");
        sender.onLoadReported(new ReportedLoad(12, 7, 12, OptionalInt.of(246)), 1_000);
        Target receiver = target("i");
        LoadGossip.apply(LoadGossip.newestReadings(List.of(sender), 1_200), only(receiver), 5_000);
        assertThat(receiver.reportedLoad()).isEqualTo(19);
        assertThat(receiver.waiting(5_000)).isEqualTo(7);
        assertThat(receiver.slowdown(5_000)).isEqualTo(2.46);
    }

    /**
     * Guards against sending an older slowdown with the age of a newer load: a slowdown is only
     * known of the report that contained it.
     */
    @Test
    void slowdownIsSentOnlyWithItsReport() {
        Target sender = target("i");
        sender.onLoadReported(new ReportedLoad(12, 7, 12, OptionalInt.of(250)), 1_000);
        sender.onLoadReported(new ReportedLoad(3, 0, 12, OptionalInt.empty()), 1_100);
        LoadReading reading = LoadGossip.newestReadings(List.of(sender), 1_200).get(0);
        assertThat(reading.slowdownPercent()).isEqualTo(OptionalInt.empty());
    }

    @Test
    void ownRequestsAreNotCountedTwice() {
        Target receiver = target("i");
        receiver.onRequestSent(4_000);
        receiver.onLoadRelayed(9, 5_000);
        assertThat(receiver.inFlight() + receiver.othersInFlight(5_000)).isEqualTo(9);
    }

    @Test
    void olderReadingIsIgnored() {
        Target receiver = target("i");
        receiver.onLoadReported(3, 5_000);
        receiver.onLoadRelayed(9, 4_999);
        assertThat(receiver.reportedLoad()).isEqualTo(3);
    }

    @Test
    void staleAndMissingReadingsAreNotSent() {
        Target old = target("old");
        old.onLoadReported(9, 1_000);
        assertThat(LoadGossip.newestReadings(List.of(old, target("unknown")), 2_001)).isEmpty();
    }

    @Test
    void readingsOfUnknownTargetsAreIgnored() {
        Target known = target("i");
        LoadGossip.apply(
                List.of(new LoadReading(77, 9, 0, OptionalInt.empty(), 0)), only(known), 5_000);
        assertThat(known.loadReportAgeMillis(5_000)).isEqualTo(-1);
    }

    /** With 830 targets, a message stays within its size limit. */
    @Test
    void newestReadingsAreSent() {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < 830; i++) {
            Target t = target("i-" + i);
            t.onLoadReported(1, 1_000 + i);
            targets.add(t);
        }
        List<LoadReading> digest = LoadGossip.newestReadings(targets, 1_900);
        assertThat(digest).hasSize(LoadGossip.MAX_READINGS);
        for (LoadReading r : digest) {
            assertThat(r.ageMillis()).isAtMost(1_900 - 1_829 + LoadGossip.MAX_READINGS);
        }
    }
}
