package org.forkseam.core.crash;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;
import java.util.Optional;

/** Tests for how long a request is refused. */
class QuarantineTermTest {
    private static final long NOW = 1_000_000;
    private static final long TEN_MINUTES = 600_000;
    private static final long DAY = 86_400_000;

    private static QuarantineTerm afterTrials(int failed) {
        QuarantineTerm t = QuarantineTerm.first(NOW);
        for (int i = 0; i < failed; i++) {
            t = t.tried(NOW, "host-1").doubled(NOW);
        }
        return t;
    }

    @Test
    void eachFailedTrialDoublesTheTermUpToADay() {
        assertThat(afterTrials(0).leftMillis(NOW)).isEqualTo(TEN_MINUTES);
        assertThat(afterTrials(1).leftMillis(NOW)).isEqualTo(2 * TEN_MINUTES);
        assertThat(afterTrials(2).leftMillis(NOW)).isEqualTo(4 * TEN_MINUTES);
        assertThat(afterTrials(20).leftMillis(NOW)).isEqualTo(DAY);
    }

    /** A router that is lost in a trial does not keep the request refused for ever. */
    @Test
    void aTrialIsLeftToOneRouterForAWhile() {
        QuarantineTerm t = QuarantineTerm.first(NOW).tried(NOW + TEN_MINUTES, "host-1");
        assertThat(t.isRunning(NOW + TEN_MINUTES + 29_000)).isTrue();
        assertThat(t.isRunning(NOW + TEN_MINUTES + 30_000)).isFalse();
        assertThat(t.termMillis()).isEqualTo(TEN_MINUTES);
    }

    @Test
    void whatNobodyAsksForInAWholeTermIsForgotten() {
        QuarantineTerm t = QuarantineTerm.first(NOW);
        assertThat(t.isRunning(NOW + TEN_MINUTES - 1)).isTrue();
        assertThat(t.isRunning(NOW + TEN_MINUTES)).isFalse();
        assertThat(t.isOver(NOW + 2 * TEN_MINUTES - 1)).isFalse();
        assertThat(t.isOver(NOW + 2 * TEN_MINUTES)).isTrue();
        assertThat(QuarantineTerm.released().isOver(NOW)).isTrue();
    }

    @Test
    void whatIsWrittenIsRead() {
        for (QuarantineTerm t : List.of(afterTrials(1), afterTrials(1).tried(NOW, "host,1"))) {
            assertThat(QuarantineTerm.read(t.write())).isEqualTo(Optional.of(t));
        }
        assertThat(QuarantineTerm.read(QuarantineTerm.released().write()).get().isReleased())
                .isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", ",", "1", "1,", "a,b", "1,2", "-1,5,", "1,-5,", "1,86400001,", "1e3,4,"})
    void whatNoRouterWritesIsNoTerm(String text) {
        assertThat(QuarantineTerm.read(text)).isEqualTo(Optional.empty());
    }

    @Property(tries = 200, seed = "34")
    void noTextMakesItFail(@ForAll String text) {
        QuarantineTerm.read(text);
    }
}
