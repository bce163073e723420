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
 * Tests that all routers together keep the request limit of cold targets, e.g. after an evacuation
 * ends.
 */
class ColdStartLimiterTest {
    private static final ColdStart COLD = new ColdStart(3_000, 23);
    private static final double OVERSHOOT = 1.5;

    /** COLD.perSecond times OVERSHOOT, rounded down. */
    private static final int LIMIT = 34;

    /** Start of routers that have no predecessor within a window. */
    private static final long LONG_AGO = -10_000;

    /** Requests per second allowed above the limit over all routers. */
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
            sum += ColdStartShare.of(all.get(i), views.get(i), target).requestsPerSecond(LIMIT);
        }
        return sum;
    }

    @Property(tries = 200)
    void sharesOfAllRoutersSumToTheLimit(
            @ForAll @IntRange(min = 1, max = 400) int routers, @ForAll long target) {
        List<String> all = names(routers);
        List<Set<String>> views = Collections.nCopies(routers, Set.copyOf(all));
        assertThat(sum(all, views, target)).isEqualTo(LIMIT);
    }

    /** Each router misses two arbitrary other routers. */
    @Property(tries = 200)
    void partialViewsExceedTheLimitByAtMostTheSlack(@ForAll long seed) {
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

    /** Terminated routers that are still counted reduce the shares. */
    @Property(tries = 100)
    void staleRoutersDoNotRaiseTheLimit(
            @ForAll @IntRange(min = 1, max = 300) int routers,
            @ForAll @IntRange(max = 40) int terminated,
            @ForAll long target) {
        List<String> all = names(routers);
        Set<String> view = new HashSet<>(names(routers + terminated));
        assertThat(sum(all, Collections.nCopies(routers, view), target)).isAtMost(LIMIT);
    }

    /** Under full load, no window of one second exceeds the limit. */
    @Test
    void slidingWindowNeverExceedsTheLimit() {
        for (int routers : new int[] {1, 4, 23, 340}) {
            assertThat(maxRequestsPerSecond(routers)).isAtMost(LIMIT);
        }
    }

    private static int maxRequestsPerSecond(int routers) {
        Random random = new Random(routers);
        List<String> all = names(routers);
        List<ColdStartLimiter> gates = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        for (String name : all) {
            gates.add(limiter(name, all, LONG_AGO));
            targets.add(cold("t"));
        }
        Deque<Long> arrivals = new ArrayDeque<>();
        int max = 0;
        for (long now = 0; now < 2_900; now++) {
            for (int i = 0; i < 5; i++) {
                int r = random.nextInt(routers);
                Target t = targets.get(r);
                if (!gates.get(r).admissible(List.of(t), COLD, now).isEmpty()) {
                    gates.get(r).onRequestSent(t, COLD, now);
                    arrivals.addLast(now);
                }
            }
            while (!arrivals.isEmpty() && now - arrivals.peekFirst() >= 1_000) {
                arrivals.removeFirst();
            }
            max = Math.max(max, arrivals.size());
        }
        return max;
    }

    /** Guards against routers that restart within a second and send their shares twice. */
    @Test
    void restartedRoutersKeepTheLimit() {
        int before = sendAll(LONG_AGO, 1_300);
        int after = sendAll(1_600, 2_200);
        assertThat(before + after).isAtMost(LIMIT + SLACK);
        assertThat(sendAll(1_600, 2_600)).isEqualTo(LIMIT);
    }

    /** Sends as many requests to a cold target as 23 routers admit that started at a time. */
    private static int sendAll(long startedAt, long now) {
        List<String> all = names(23);
        Target t = cold("t");
        int sent = 0;
        for (String name : all) {
            ColdStartLimiter gate = limiter(name, all, startedAt);
            while (!gate.admissible(List.of(t), COLD, now).isEmpty()) {
                gate.onRequestSent(t, COLD, now);
                sent++;
            }
        }
        return sent;
    }

    private static ColdStartLimiter limiter(String name, List<String> all, long startedAt) {
        return ColdStartLimiter.of(
                h -> Optional.of(ColdStartShare.of(name, all, h)), OVERSHOOT, startedAt);
    }

    @Test
    void unknownRouterSetSkipsColdTargets() {
        ColdStartLimiter gate = ColdStartLimiter.of(h -> Optional.empty(), OVERSHOOT, LONG_AGO);
        assertThat(gate.admissible(List.of(cold("t")), COLD, 10)).isEmpty();
        assertThat(gate.skipped()).isEqualTo(1);
    }

    @Test
    void warmTargetsAndUnlimitedPoolsAreAdmissible() {
        ColdStartLimiter gate = ColdStartLimiter.of(h -> Optional.empty(), OVERSHOOT, LONG_AGO);
        List<Target> cold = List.of(cold("t"));
        assertThat(gate.admissible(cold, ColdStart.NONE, 10)).isEqualTo(cold);
        assertThat(gate.admissible(cold, COLD, 3_000)).isEqualTo(cold);
    }

    /** The target's own cold report may not have arrived yet. */
    @Test
    void targetIsColdAfterAnEvacuation() {
        ColdStartLimiter gate = ColdStartLimiter.of(h -> Optional.empty(), OVERSHOOT, LONG_AGO);
        Target t = Target.of(new TargetEntry("t", "p", "10.0.0.1:1", "a", 64, false, 0), 0);
        t.setEvacuated(true, 1_000);
        t.setEvacuated(false, 9_000);
        assertThat(gate.admissible(List.of(t), COLD, 11_900)).isEmpty();
        assertThat(gate.admissible(List.of(t), COLD, 12_000)).containsExactly(t);
    }

    @Test
    void newerEntryRestartsOrEndsColdPeriod() {
        Target t = cold("t");
        assertThat(t.isCold(0, 2_999)).isTrue();
        t.update(new TargetEntry("t", "p", "10.0.0.1:1", "a", 64, false, 0), 1_000);
        assertThat(t.isCold(0, 1_000)).isFalse();
        t.update(new TargetEntry("t", "p", "10.0.0.1:1", "a", 64, false, 2_000), 5_000);
        assertThat(t.isCold(0, 6_999)).isTrue();
        assertThat(t.isCold(0, 7_000)).isFalse();
    }

    /**
     * Heartbeats report a decreasing cold period; the period counted from the first report stands.
     */
    @Test
    void coldPeriodIsCountedFromFirstReport() {
        Target t = cold("t");
        t.update(new TargetEntry("t", "p", "10.0.0.1:1", "a", 64, false, 1_800), 1_900);
        assertThat(t.isCold(0, 2_999)).isTrue();
        assertThat(t.isCold(0, 3_000)).isFalse();
    }

    @Test
    void rankDiffersByTarget() {
        List<String> all = names(340);
        Set<Integer> ranks = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            ranks.add(ColdStartShare.of("front-0", all, Hashes.of("t" + i)).rank());
        }
        assertThat(ranks.size()).isGreaterThan(10);
    }
}
