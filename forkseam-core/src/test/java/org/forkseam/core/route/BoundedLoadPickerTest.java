package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.forkseam.core.member.Target;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;

/** Tests the preference for a home within the load bound. */
class BoundedLoadPickerTest {
    private static final double MULTIPLE = 2;
    private static final int MARGIN = 2;

    private final BoundedLoadPicker mPicker = BoundedLoadPicker.of(MULTIPLE, MARGIN);

    private static PickRequest request(String key, long sharedTokens) {
        return PickRequest.of(key, sharedTokens, ShardTable.empty());
    }

    @Test
    void sameKeyGoesToTheSameTarget() {
        List<Target> pool = TestTargets.ready(8);
        Target first = mPicker.pick(request("k", 100), pool, 0).orElseThrow().target();
        assertThat(mPicker.pick(request("k", 100), pool, 5).orElseThrow().target())
                .isSameInstanceAs(first);
    }

    @Test
    void noCandidatesYieldNoPick() {
        assertThat(mPicker.pick(request("k", 0), List.of(), 0).isPresent()).isFalse();
    }

    @Test
    void largePrefixStaysHomeWhereSmallOneSpills() {
        List<Target> pool = TestTargets.ready(4);
        pool.forEach(t -> TestTargets.load(t, 10));
        Target home = mPicker.pick(request("k", 10_000), pool, 0).orElseThrow().target();
        TestTargets.load(
                home, 14); // load 24 at a mean of 13.5: between 0.85 and 1 times twice the mean
        assertThat(mPicker.pick(request("k", 10_000), pool, 0).orElseThrow().reason())
                .isEqualTo(Pick.Reason.HOME);
        TestTargets.load(home, 2);
        assertThat(mPicker.pick(request("k", 100), pool, 0).orElseThrow().reason())
                .isEqualTo(Pick.Reason.SPILL);
    }

    /** The mean load is taken over all targets, including idle ones. */
    @Test
    void idleTargetsLowerTheBound() {
        List<Target> pool = TestTargets.ready(4);
        pool.forEach(t -> TestTargets.load(t, 10));
        Target home = mPicker.pick(request("k", 10_000), pool, 0).orElseThrow().target();
        TestTargets.load(home, 14); // load 24: below twice a mean of 13.5, above twice a mean of 9
        PickRequest withIdleTargets = new PickRequest("k", 10_000, ShardTable.empty(), 2);
        assertThat(mPicker.pick(request("k", 10_000), pool, 0).orElseThrow().target())
                .isSameInstanceAs(home);
        assertThat(mPicker.pick(withIdleTargets, pool, 0).orElseThrow().reason())
                .isEqualTo(Pick.Reason.SPILL);
    }

    private static PickRequest placed(Target t) {
        return new PickRequest("k", 10_000, ShardTable.empty(), 0, Optional.of(t));
    }

    @Test
    void placedTargetIsPickedInsteadOfTheHome() {
        List<Target> pool = TestTargets.ready(4);
        Target home = mPicker.pick(request("k", 10_000), pool, 0).orElseThrow().target();
        Target other = pool.stream().filter(t -> t != home).findFirst().orElseThrow();
        Pick p = mPicker.pick(placed(other), pool, 0).orElseThrow();
        assertThat(p.target()).isSameInstanceAs(other);
        assertThat(p.reason()).isEqualTo(Pick.Reason.PLACED);
        assertThat(p.rank()).isGreaterThan(0);
        assertThat(mPicker.pick(placed(home), pool, 0).orElseThrow().rank()).isEqualTo(0);
    }

    /** Coordinators do not know all requests of an engine; the load bound has to hold anyway. */
    @Test
    void placedTargetOverItsBoundOrNotACandidateIsNotPicked() {
        List<Target> pool = TestTargets.ready(4);
        pool.forEach(t -> TestTargets.load(t, 10));
        Target home = mPicker.pick(request("k", 10_000), pool, 0).orElseThrow().target();
        Target other = pool.stream().filter(t -> t != home).findFirst().orElseThrow();
        TestTargets.load(other, 30);
        assertThat(mPicker.pick(placed(other), pool, 0).orElseThrow().target())
                .isSameInstanceAs(home);
        List<Target> rest = pool.stream().filter(t -> t != other).toList();
        assertThat(mPicker.pick(placed(other), rest, 0).orElseThrow().target())
                .isSameInstanceAs(home);
    }

    @Property(tries = 300)
    void neverPicksTargetOverBoundWhileAnotherIsBelow(
            @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 60) Integer> loads,
            @ForAll @IntRange(max = 100_000) int key) {
        List<Target> pool = TestTargets.ready(loads.size());
        int total = 0;
        for (int i = 0; i < loads.size(); i++) {
            TestTargets.load(pool.get(i), loads.get(i));
            total += loads.get(i);
        }
        Pick p = mPicker.pick(request("k" + key, 10_000), pool, 0).orElseThrow();
        double bound = MULTIPLE * total / loads.size() + MARGIN;
        assertThat((double) p.load()).isLessThan(bound);
    }
}
