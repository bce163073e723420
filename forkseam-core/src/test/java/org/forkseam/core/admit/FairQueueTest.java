package org.forkseam.core.admit;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Tests that teams get their weighted share of a busy target. */
class FairQueueTest {
    private static final long LATER = Long.MAX_VALUE;

    @Test
    void backlogOfOneTeamDoesNotDelayAnother() {
        FairQueue<String> q = FairQueue.of(1000);
        for (int i = 0; i < 500; i++) {
            q.add("surge" + i, "loud", 1, 5, LATER);
        }
        q.poll();
        q.add("quiet", "small", 1, 5, LATER);
        String first = q.poll().orElseThrow().item();
        String second = q.poll().orElseThrow().item();
        assertThat(first.equals("quiet") || second.equals("quiet")).isTrue();
    }

    @Test
    void idleTeamAccumulatesNoCredit() {
        FairQueue<String> q = FairQueue.of(1000);
        q.add("b0", "b", 1, 5, LATER);
        q.poll();
        for (int i = 0; i < 100; i++) {
            q.add("a" + i, "a", 1, 5, LATER);
            q.poll();
        }
        for (int i = 0; i < 20; i++) {
            q.add("a" + i, "a", 1, 5, LATER);
            q.add("b" + i, "b", 1, 5, LATER);
        }
        int b = 0;
        for (int i = 0; i < 20; i++) {
            b += q.poll().orElseThrow().team().equals("b") ? 1 : 0;
        }
        assertThat(b).isAtMost(11);
    }

    @Property(tries = 100, seed = "31")
    void backloggedTeamsAreServedByWeight(
            @ForAll @IntRange(min = 1, max = 8) int weightA,
            @ForAll @IntRange(min = 1, max = 8) int weightB) {
        FairQueue<Integer> q = FairQueue.of(2000);
        for (int i = 0; i < 900; i++) {
            q.add(i, "a", weightA, 5, LATER);
            q.add(i, "b", weightB, 5, LATER);
        }
        int a = 0;
        for (int i = 0; i < 400; i++) {
            a += q.poll().orElseThrow().team().equals("a") ? 1 : 0;
        }
        assertThat((double) a / 400).isWithin(0.02).of((double) weightA / (weightA + weightB));
    }

    @Test
    void priorityThenArrivalWithinATeam() {
        FairQueue<String> q = FairQueue.of(10);
        q.add("low", "a", 1, 1, LATER);
        q.add("first", "a", 1, 9, LATER);
        q.add("second", "a", 1, 9, LATER);
        assertThat(q.poll().orElseThrow().item()).isEqualTo("first");
        assertThat(q.poll().orElseThrow().item()).isEqualTo("second");
        assertThat(q.poll().orElseThrow().item()).isEqualTo("low");
    }

    @Test
    void fullQueueEvictsFromTheLargestBacklog() {
        FairQueue<String> q = FairQueue.of(3);
        q.add("l1", "loud", 1, 5, LATER);
        q.add("l2", "loud", 1, 5, LATER);
        q.add("l3", "loud", 1, 5, LATER);
        Optional<FairQueue.Waiting<String>> out = q.add("s1", "small", 1, 5, LATER);
        assertThat(out.orElseThrow().item()).isEqualTo("l3");
        assertThat(q.add("l4", "loud", 1, 5, LATER).orElseThrow().item()).isEqualTo("l4");
    }

    @Property(tries = 200, seed = "32")
    void nothingIsLostOrServedTwice(@ForAll Random random) {
        FairQueue<Integer> q = FairQueue.of(20);
        Map<Integer, Integer> seen = new HashMap<>();
        int added = 0;
        long now = 0;
        for (int step = 0; step < 300; step++) {
            now++;
            int operation = random.nextInt(10);
            if (operation < 6) {
                String team = "t" + random.nextInt(4);
                q.add(added++, team, 1 + random.nextInt(3), random.nextInt(10), now + 30)
                        .ifPresent(w -> seen.merge(w.item(), 1, Integer::sum));
            } else if (operation < 9) {
                q.poll().ifPresent(w -> seen.merge(w.item(), 1, Integer::sum));
            } else {
                q.expire(now).forEach(w -> seen.merge(w.item(), 1, Integer::sum));
            }
        }
        while (q.size() > 0) {
            seen.merge(q.poll().orElseThrow().item(), 1, Integer::sum);
        }
        assertThat(seen).hasSize(added);
        assertThat(seen.values().stream().allMatch(n -> n == 1)).isTrue();
    }
}
