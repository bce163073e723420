package org.forkseam.core.crash;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;
import java.util.Optional;

/** Tests the terms for which a poison request is refused. */
class QuarantineTermTest {
    private static final long NOW = 1_000_000;
    private static final long TEN_MINUTES = 600_000;
    private static final long DAY = 86_400_000;

    private static QuarantineTerm afterTrials(int failed) {
        QuarantineTerm t = QuarantineTerm.initial(NOW);
        for (int i = 0; i < failed; i++) {
            t = t.withTrial(NOW, "host-1").doubled(NOW);
        }
        return t;
    }

    @Test
    void failedTrialDoublesTheTermUpToADay() {
        assertThat(afterTrials(0).remainingMillis(NOW)).isEqualTo(TEN_MINUTES);
        assertThat(afterTrials(1).remainingMillis(NOW)).isEqualTo(2 * TEN_MINUTES);
        assertThat(afterTrials(2).remainingMillis(NOW)).isEqualTo(4 * TEN_MINUTES);
        assertThat(afterTrials(20).remainingMillis(NOW)).isEqualTo(DAY);
    }

    /** A router that fails during a trial must not keep the request refused forever. */
    @Test
    void trialIsExclusiveAndTimesOut() {
        QuarantineTerm t = QuarantineTerm.initial(NOW).withTrial(NOW + TEN_MINUTES, "host-1");
        assertThat(t.isActive(NOW + TEN_MINUTES + 29_000)).isTrue();
        assertThat(t.isActive(NOW + TEN_MINUTES + 30_000)).isFalse();
        assertThat(t.termMillis()).isEqualTo(TEN_MINUTES);
    }

    @Test
    void expiresAfterATermWithoutRequests() {
        QuarantineTerm t = QuarantineTerm.initial(NOW);
        assertThat(t.isActive(NOW + TEN_MINUTES - 1)).isTrue();
        assertThat(t.isActive(NOW + TEN_MINUTES)).isFalse();
        assertThat(t.isExpired(NOW + 2 * TEN_MINUTES - 1)).isFalse();
        assertThat(t.isExpired(NOW + 2 * TEN_MINUTES)).isTrue();
        assertThat(QuarantineTerm.released().isExpired(NOW)).isTrue();
    }

    @Test
    void formatAndParseRoundTrip() {
        for (QuarantineTerm t : List.of(afterTrials(1), afterTrials(1).withTrial(NOW, "host,1"))) {
            assertThat(QuarantineTerm.parse(t.format())).isEqualTo(Optional.of(t));
        }
        assertThat(QuarantineTerm.parse(QuarantineTerm.released().format()).get().isReleased())
                .isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", ",", "1", "1,", "a,b", "1,2", "-1,5,", "1,-5,", "1,86400001,", "1e3,4,"})
    void malformedTextIsRejected(String text) {
        assertThat(QuarantineTerm.parse(text)).isEqualTo(Optional.empty());
    }

    @Property(tries = 200, seed = "34")
    void parseNeverThrows(@ForAll String text) {
        QuarantineTerm.parse(text);
    }
}
