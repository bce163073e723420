package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.member.Target;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Random;
import java.util.Set;

/** Tests which targets may take a request. */
class CandidateFilterTest {
    private final CandidateFilter mFilter = CandidateFilter.of(new Random(1));

    private static void makeSick(Target t, long now) {
        t.health().onFailure(now);
        t.health().onFailure(now);
    }

    @Test
    void targetsThatLeaveOrWereTriedAreLeftOut() {
        List<Target> pool = Targets.ready(3);
        Targets.leave(pool.get(0));
        assertThat(mFilter.of(pool, Set.of("t1"), 0).targets()).containsExactly(pool.get(2));
    }

    /** Not even where nothing else is left: operators have asked for it. */
    @Test
    void evacuatedTargetsAreAlwaysLeftOut() {
        List<Target> pool = Targets.ready(3);
        pool.forEach(t -> t.setEvacuated(true, 0));
        assertThat(mFilter.of(pool, Set.of(), 0).targets()).isEmpty();
        pool.get(2).setEvacuated(false, 0);
        makeSick(pool.get(2), 100);
        assertThat(mFilter.of(pool, Set.of(), 200).targets()).containsExactly(pool.get(2));
    }

    @Test
    void sickTargetsAreLeftOutWhileMostAreWell() {
        List<Target> pool = Targets.ready(4);
        makeSick(pool.get(2), 100);
        CandidateFilter.Candidates c = mFilter.of(pool, Set.of(), 200);
        assertThat(c.targets()).doesNotContain(pool.get(2));
        assertThat(c.trusted()).isTrue();
    }

    @Test
    void allAreUsedWhenMostSeemSick() {
        List<Target> pool = Targets.ready(4);
        pool.subList(0, 3).forEach(t -> makeSick(t, 100));
        CandidateFilter.Candidates c = mFilter.of(pool, Set.of(), 200);
        assertThat(c.targets()).containsExactlyElementsIn(pool);
        assertThat(c.trusted()).isFalse();
    }

    @Test
    void aTargetThatRefusedIsPassedOverForAMoment() {
        List<Target> pool = Targets.ready(3);
        pool.get(0).onRequestRefused(100);
        assertThat(mFilter.of(pool, Set.of(), 120).targets()).doesNotContain(pool.get(0));
        assertThat(mFilter.of(pool, Set.of(), 500).targets()).contains(pool.get(0));
    }

    @Test
    void aSilentTargetIsLeftOut() {
        List<Target> pool = Targets.ready(3);
        pool.get(0).onRequestSent(0);
        assertThat(mFilter.of(pool, Set.of(), 2_000).targets()).doesNotContain(pool.get(0));
    }
}
