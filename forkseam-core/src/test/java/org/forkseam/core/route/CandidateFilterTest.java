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

    private static void makeUnhealthy(Target t, long now) {
        t.health().onFailure(now);
        t.health().onFailure(now);
    }

    @Test
    void leavingAndTriedTargetsAreExcluded() {
        List<Target> pool = TestTargets.ready(3);
        TestTargets.leave(pool.get(0));
        assertThat(mFilter.apply(pool, Set.of("t1"), 0).targets()).containsExactly(pool.get(2));
    }

    /** They are excluded even if no other target is left. */
    @Test
    void evacuatedTargetsAreAlwaysExcluded() {
        List<Target> pool = TestTargets.ready(3);
        pool.forEach(t -> t.setEvacuated(true, 0));
        assertThat(mFilter.apply(pool, Set.of(), 0).targets()).isEmpty();
        pool.get(2).setEvacuated(false, 0);
        makeUnhealthy(pool.get(2), 100);
        assertThat(mFilter.apply(pool, Set.of(), 200).targets()).containsExactly(pool.get(2));
    }

    @Test
    void unhealthyTargetsAreExcludedWhileMostAreHealthy() {
        List<Target> pool = TestTargets.ready(4);
        makeUnhealthy(pool.get(2), 100);
        CandidateFilter.Candidates c = mFilter.apply(pool, Set.of(), 200);
        assertThat(c.targets()).doesNotContain(pool.get(2));
        assertThat(c.healthTrusted()).isTrue();
    }

    @Test
    void allTargetsAreUsedWhenMostAreUnhealthy() {
        List<Target> pool = TestTargets.ready(4);
        pool.subList(0, 3).forEach(t -> makeUnhealthy(t, 100));
        CandidateFilter.Candidates c = mFilter.apply(pool, Set.of(), 200);
        assertThat(c.targets()).containsExactlyElementsIn(pool);
        assertThat(c.healthTrusted()).isFalse();
    }

    @Test
    void refusingTargetIsSkippedBriefly() {
        List<Target> pool = TestTargets.ready(3);
        pool.get(0).onRequestRefused(100);
        assertThat(mFilter.apply(pool, Set.of(), 120).targets()).doesNotContain(pool.get(0));
        assertThat(mFilter.apply(pool, Set.of(), 500).targets()).contains(pool.get(0));
    }

    @Test
    void silentTargetIsExcluded() {
        List<Target> pool = TestTargets.ready(3);
        pool.get(0).onRequestSent(0);
        assertThat(mFilter.apply(pool, Set.of(), 2_000).targets()).doesNotContain(pool.get(0));
    }
}
