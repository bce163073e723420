package org.forkseam.core.admit;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.traffic.ColdStart;
import org.forkseam.core.util.Hashes;
import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Tests that routers together keep to what a cold target bears: a failure domain's engines that
 * come back at once, or operators that take an evacuation back. The figures are those of the fleet
 * that starts cold: 23 routers, 23 requests a second borne, half as many more allowed and 5
 * besides; 340 routers are the size aimed at.
 */
class ColdGateTest {
    private static final ColdStart COLD = new ColdStart(3_000, 23);
    private static final double OVERSHOOT = 1.5;

    /** 23 times 1.5, whole requests. */
    private static final int LIMIT = 34;

    /** Requests allowed besides the limit, in any second, over all routers. */
    private static final int SLACK = 5;

    private static Target cold(String id) {
        return Target.of(new TargetEntry(id, "p", "10.0.0.1:1", "a", 64, false, 3_000), 0);
    }

    private static List<String> names(int routers) {
        List<String> out = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            out.add("front-" + i);
        }
        return out;
    }

    private static int sum(List<String> all, List<Set<String>> views, long target) {
        int sum = 0;
        for (int i = 0; i < all.size(); i++) {
            sum += ColdShare.of(all.get(i), views.get(i), target).of(LIMIT);
        }
        return sum;
    }

    @Property(tries = 200)
    void routersThatKnowEachOtherShareTheLimitWithoutARest(
            @ForAll @IntRange(min = 1, max = 400) int routers, @ForAll long target) {
        List<String> all = names(routers);
        List<Set<String>> views = Collections.nCopies(routers, Set.copyOf(all));
        assertThat(sum(all, views, target)).isEqualTo(LIMIT);
    }

    /** Messages about two other routers are lost, late or out of order, at each router others. */
    @Property(tries = 200)
    void routersThatMissTwoOthersKeepToTheLimitAndItsSlack(@ForAll long seed) {
        Random random = new Random(seed);
        for (int routers : new int[] {23, 340}) {
            List<String> all = names(routers);
            List<Set<String>> views = new ArrayList<>();
            for (int i = 0; i < routers; i++) {
                Set<String> view = new HashSet<>(all);
                view.remove(all.get(random.nextInt(routers)));
                view.remove(all.get(random.nextInt(routers)));
                views.add(view);
            }
            assertThat(sum(all, views, random.nextLong())).isAtMost(LIMIT + SLACK);
        }
    }

    /** Routers that were killed for good still count: they cost shares, and no rule. */
    @Property(tries = 100)
    void routersThatCountTooManyKeepToTheLimit(
            @ForAll @IntRange(min = 1, max = 300) int routers,
            @ForAll @IntRange(max = 40) int gone,
            @ForAll long target) {
        List<String> all = names(routers);
        Set<String> view = new HashSet<>(names(routers + gone));
        assertThat(sum(all, Collections.nCopies(routers, view), target)).isAtMost(LIMIT);
    }

    /** All routers want to send as much as they can; no second sees more than the limit. */
    @Test
    void noSecondSeesMoreThanTheLimit() {
        for (int routers : new int[] {1, 4, 23, 340}) {
            assertThat(mostInASecond(routers)).isAtMost(LIMIT);
        }
    }

    private static int mostInASecond(int routers) {
        Random random = new Random(routers);
        List<String> all = names(routers);
        List<ColdGate> gates = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        for (String name : all) {
            gates.add(ColdGate.of(h -> Optional.of(ColdShare.of(name, all, h)), OVERSHOOT));
            targets.add(cold("t"));
        }
        Deque<Long> arrivals = new ArrayDeque<>();
        int most = 0;
        for (long now = 0; now < 2_900; now++) {
            for (int i = 0; i < 5; i++) {
                int r = random.nextInt(routers);
                Target t = targets.get(r);
                if (!gates.get(r).admitted(List.of(t), COLD, now).isEmpty()) {
                    gates.get(r).onSent(t, COLD, now);
                    arrivals.addLast(now);
                }
            }
            while (!arrivals.isEmpty() && now - arrivals.peekFirst() >= 1_000) {
                arrivals.removeFirst();
            }
            most = Math.max(most, arrivals.size());
        }
        return most;
    }

    @Test
    void aRouterThatKnowsNoOthersSendsNothingToColdTargets() {
        ColdGate gate = ColdGate.of(h -> Optional.empty(), OVERSHOOT);
        assertThat(gate.admitted(List.of(cold("t")), COLD, 10)).isEmpty();
        assertThat(gate.passedOver()).isEqualTo(1);
    }

    @Test
    void warmTargetsAndPoolsWithoutALimitAreLetThrough() {
        ColdGate gate = ColdGate.of(h -> Optional.empty(), OVERSHOOT);
        List<Target> cold = List.of(cold("t"));
        assertThat(gate.admitted(cold, ColdStart.NONE, 10)).isEqualTo(cold);
        assertThat(gate.admitted(cold, COLD, 3_000)).isEqualTo(cold);
    }

    /** Its own word that it is cold may still be under way. */
    @Test
    void aTargetThatComesBackFromAnEvacuationCountsAsCold() {
        ColdGate gate = ColdGate.of(h -> Optional.empty(), OVERSHOOT);
        Target t = Target.of(new TargetEntry("t", "p", "10.0.0.1:1", "a", 64, false, 0), 0);
        t.setEvacuated(true, 1_000);
        t.setEvacuated(false, 9_000);
        assertThat(gate.admitted(List.of(t), COLD, 11_900)).isEmpty();
        assertThat(gate.admitted(List.of(t), COLD, 12_000)).containsExactly(t);
    }

    @Test
    void aTargetMayTurnColdAgainAndWarmSooner() {
        Target t = cold("t");
        assertThat(t.isCold(0, 2_999)).isTrue();
        t.update(new TargetEntry("t", "p", "10.0.0.1:1", "a", 64, false, 0), 1_000);
        assertThat(t.isCold(0, 1_000)).isFalse();
        t.update(new TargetEntry("t", "p", "10.0.0.1:1", "a", 64, false, 2_000), 5_000);
        assertThat(t.isCold(0, 6_999)).isTrue();
        assertThat(t.isCold(0, 7_000)).isFalse();
    }

    /** Its heartbeats tell less and less: what was counted from the first word stands. */
    @Test
    void coldTimeRunsOffFromTheFirstWord() {
        Target t = cold("t");
        t.update(new TargetEntry("t", "p", "10.0.0.1:1", "a", 64, false, 1_800), 1_900);
        assertThat(t.isCold(0, 2_999)).isTrue();
        assertThat(t.isCold(0, 3_000)).isFalse();
    }

    @Test
    void routersHaveAnotherOrderForEachTarget() {
        List<String> all = names(340);
        Set<Integer> ranks = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            ranks.add(ColdShare.of("front-0", all, Hashes.of("t" + i)).rank());
        }
        assertThat(ranks.size()).isGreaterThan(10);
    }
}
