package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;

/** Tests what routers tell each other of targets' load. */
class LoadExchangeTest {
    private static Target target(String id) {
        return Target.of(new TargetEntry(id, "p", "10.0.0.1:1", "a", 12, false, 0));
    }

    private static IntFunction<Optional<Target>> only(Target t) {
        return hash -> hash == t.shortHash() ? Optional.of(t) : Optional.empty();
    }

    @Test
    void aReadingReachesARouterThatNeverAsked() {
        Target told = target("i");
        told.onLoadReported(9, 1_000);
        Target heard = target("i");
        LoadExchange.take(LoadExchange.digest(List.of(told), 1_200), only(heard), 5_000);
        assertThat(heard.othersInFlight(5_000)).isEqualTo(9);
        assertThat(heard.loadReportAgeMillis(5_000)).isEqualTo(200);
    }

    @Test
    void ownRequestsAreNotCountedTwice() {
        Target heard = target("i");
        heard.onRequestSent(4_000);
        heard.onLoadRelayed(9, 5_000);
        assertThat(heard.inFlight() + heard.othersInFlight(5_000)).isEqualTo(9);
    }

    @Test
    void anOlderReadingChangesNothing() {
        Target heard = target("i");
        heard.onLoadReported(3, 5_000);
        heard.onLoadRelayed(9, 4_999);
        assertThat(heard.reportedLoad()).isEqualTo(3);
    }

    @Test
    void whatIsOldOrUnknownIsNotPassedOn() {
        Target old = target("old");
        old.onLoadReported(9, 1_000);
        assertThat(LoadExchange.digest(List.of(old, target("unknown")), 2_001)).isEmpty();
    }

    @Test
    void readingsOfUnknownTargetsArePassedOver() {
        Target known = target("i");
        LoadExchange.take(List.of(new LoadReading(77, 9, 0)), only(known), 5_000);
        assertThat(known.loadReportAgeMillis(5_000)).isEqualTo(-1);
    }

    /** 830 targets: a digest holds the newest readings and stays within its bytes. */
    @Test
    void ofManyTheNewestArePassedOn() {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < 830; i++) {
            Target t = target("i-" + i);
            t.onLoadReported(1, 1_000 + i);
            targets.add(t);
        }
        List<LoadReading> digest = LoadExchange.digest(targets, 1_900);
        assertThat(digest).hasSize(LoadExchange.MAX_READINGS);
        for (LoadReading r : digest) {
            assertThat(r.ageMillis()).isAtMost(1_900 - 1_829 + LoadExchange.MAX_READINGS);
        }
    }
}
