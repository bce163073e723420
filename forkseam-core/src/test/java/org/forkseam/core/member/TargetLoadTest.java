package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.load.ReportedLoad;
import org.junit.jupiter.api.Test;

import java.util.OptionalInt;

/** Tests what a target's load reports tell about its queue and speed. */
class TargetLoadTest {
    private final Target mTarget =
            Target.of(new TargetEntry("i", "p", "10.0.0.1:1", "a", 12, false, 0));

    private static ReportedLoad report(int running, int waiting, int slots, int slowdown) {
        return new ReportedLoad(running, waiting, slots, OptionalInt.of(slowdown));
    }

    @Test
    void targetWithoutReportsHasUsualSpeedAndNoQueue() {
        assertThat(mTarget.waiting(0)).isEqualTo(0);
        assertThat(mTarget.slowdown(0)).isEqualTo(1.0);
        assertThat(mTarget.reportedSlots()).isEqualTo(0);
        assertThat(mTarget.loadReportAgeMillis(0)).isEqualTo(-1);
    }

    @Test
    void reportIsKept() {
        mTarget.onLoadReported(report(12, 7, 12, 250), 1_000);
        assertThat(mTarget.waiting(1_100)).isEqualTo(7);
        assertThat(mTarget.slowdown(1_100)).isEqualTo(2.5);
        assertThat(mTarget.reportedSlots()).isEqualTo(12);
        assertThat(mTarget.reportedLoad()).isEqualTo(19);
        assertThat(mTarget.othersInFlight(1_100)).isEqualTo(19);
    }

    @Test
    void waitingExpiresWithTheLoad() {
        mTarget.onLoadReported(report(12, 7, 12, 250), 1_000);
        assertThat(mTarget.waiting(2_500)).isEqualTo(7);
        assertThat(mTarget.waiting(2_501)).isEqualTo(0);
        assertThat(mTarget.slowdown(2_501)).isEqualTo(1.0);
    }

    /** A report without slowdown says nothing about the speed. */
    @Test
    void reportWithoutSlowdownKeepsIt() {
        mTarget.onLoadReported(report(12, 7, 12, 250), 1_000);
        mTarget.onLoadReported(new ReportedLoad(3, 0, 12, OptionalInt.empty()), 1_100);
        assertThat(mTarget.waiting(1_100)).isEqualTo(0);
        assertThat(mTarget.slowdown(1_100)).isEqualTo(2.5);
    }

    /** Other routers relay no slots; they must not replace the target's own. */
    @Test
    void relayedReportKeepsTheSlots() {
        mTarget.onLoadReported(report(12, 7, 12, 100), 1_000);
        mTarget.onLoadRelayed(report(11, 3, 0, 250), 1_050);
        assertThat(mTarget.reportedSlots()).isEqualTo(12);
        assertThat(mTarget.waiting(1_100)).isEqualTo(3);
        assertThat(mTarget.slowdown(1_100)).isEqualTo(2.5);
    }

    @Test
    void olderRelayedReportIsIgnored() {
        mTarget.onLoadReported(report(12, 7, 12, 250), 1_000);
        mTarget.onLoadRelayed(report(1, 0, 0, 100), 999);
        assertThat(mTarget.waiting(1_100)).isEqualTo(7);
        assertThat(mTarget.slowdown(1_100)).isEqualTo(2.5);
    }

    /** Targets that report only a total are as before: no queue, usual speed. */
    @Test
    void totalLoadAloneSaysNothingOfTheQueue() {
        mTarget.onLoadReported(9, 1_000);
        assertThat(mTarget.reportedLoad()).isEqualTo(9);
        assertThat(mTarget.waiting(1_000)).isEqualTo(0);
        assertThat(mTarget.slowdown(1_000)).isEqualTo(1.0);
    }
}
