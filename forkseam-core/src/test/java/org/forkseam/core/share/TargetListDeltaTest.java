package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.store.StorePosition;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Tests deltas of the target list. */
class TargetListDeltaTest {
    private static List<TargetEntry> list(Set<Integer> ids, Set<Integer> leaving) {
        List<TargetEntry> list = new ArrayList<>();
        for (int id : ids) {
            list.add(
                    new TargetEntry("i-" + id, "p", "10.0.0.1:1", "a", 4, leaving.contains(id), 0));
        }
        return list;
    }

    private static TargetListDelta between(
            List<TargetEntry> older, List<TargetEntry> newer, long readAt) {
        return TargetListDelta.between(
                older, TargetListDelta.Snapshot.of(newer), readAt, StorePosition.of(0, readAt));
    }

    /**
     * Applies a delta; empty if the result is not the newer list, so that a router would read it.
     */
    private static Optional<List<TargetEntry>> apply(
            TargetListDelta delta, List<TargetEntry> list) {
        TargetListDelta.Snapshot applied = delta.applyTo(TargetListDelta.Snapshot.of(list));
        assertThat(applied.fingerprint()).isEqualTo(TargetListDelta.fingerprint(applied.entries()));
        return delta.isConsistent(applied) ? Optional.of(applied.entries()) : Optional.empty();
    }

    @Property(tries = 100)
    void stepsProduceTheNewerList(
            @ForAll @Size(max = 60) Set<@IntRange(max = 80) Integer> before,
            @ForAll @Size(max = 60) Set<@IntRange(max = 80) Integer> after,
            @ForAll @Size(max = 20) Set<@IntRange(max = 80) Integer> leaving,
            @ForAll @IntRange(min = 1, max = 12) int maxPerStep) {
        List<TargetEntry> older = list(before, Set.of());
        List<TargetEntry> newer = list(after, leaving);
        List<TargetEntry> now = older;
        for (TargetListDelta step : between(older, newer, 1).split(maxPerStep)) {
            assertThat(step.changed().size() + step.removed().size()).isAtMost(maxPerStep);
            now = apply(step, now).orElseThrow();
        }
        assertThat(now).containsExactlyElementsIn(newer);
    }

    /** Only the first and the last heartbeat of a cold target change its entry. */
    @Test
    void decreasingColdTimeIsNoChange() {
        List<TargetEntry> cold = List.of(cold(3_000));
        TargetListDelta delta = between(cold, List.of(cold(1_800)), 2);
        assertThat(delta.changed()).isEmpty();
        assertThat(delta.isEmpty()).isTrue();
        assertThat(between(cold, List.of(cold(0)), 2).changed()).hasSize(1);
    }

    private static TargetEntry cold(long millis) {
        return new TargetEntry("i", "p", "10.0.0.1:1", "a", 4, false, millis);
    }

    /** A lost step is detected at the last one, a lost last step at the next delta. */
    @Test
    void missingStepIsDetected() {
        List<TargetEntry> older = list(Set.of(1, 2), Set.of());
        List<TargetListDelta> steps = between(older, list(Set.of(3, 4, 5), Set.of()), 1).split(2);
        assertThat(steps).hasSize(3);
        for (int lost = 0; lost < 3; lost++) {
            Optional<List<TargetEntry>> now = Optional.of(older);
            for (int i = 0; i < 3; i++) {
                TargetListDelta step = steps.get(i);
                now = i == lost ? now : now.flatMap(list -> apply(step, list));
            }
            boolean complete = now.isPresent() && lost != 2;
            assertThat(complete).isFalse();
        }
    }

    @Property(tries = 300)
    void deltaAppliedToTheOlderListYieldsTheNewer(
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> before,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> after,
            @ForAll @Size(max = 4) Set<@IntRange(max = 15) Integer> leaving) {
        List<TargetEntry> older = list(before, Set.of());
        List<TargetEntry> newer = list(after, leaving);
        TargetListDelta delta = between(older, newer, 1);
        assertThat(apply(delta, older).orElseThrow()).containsExactlyElementsIn(newer);
    }

    /** A router may have read the list by itself. */
    @Property(tries = 500)
    void deltaAppliedToAnotherListYieldsTheNewerOrIsRejected(
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> before,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> after,
            @ForAll @Size(max = 4) Set<@IntRange(max = 15) Integer> leaving,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> other) {
        List<TargetEntry> newer = list(after, leaving);
        TargetListDelta delta = between(list(before, Set.of()), newer, 1);
        Optional<List<TargetEntry>> now = apply(delta, list(other, Set.of()));
        now.ifPresent(l -> assertThat(l).containsExactlyElementsIn(newer));
    }

    /** A router that read the list by itself may already have part of the change. */
    @Property(tries = 300)
    void deltaAppliesToAnIntermediateList(
            @ForAll @Size(max = 30) Set<@IntRange(max = 40) Integer> before,
            @ForAll @Size(max = 30) Set<@IntRange(max = 40) Integer> after,
            @ForAll @IntRange(max = 40) int split) {
        List<TargetEntry> older = list(before, Set.of());
        List<TargetEntry> newer = list(after, Set.of());
        Set<Integer> between = new HashSet<>();
        before.stream().filter(i -> i < split).forEach(between::add);
        after.stream().filter(i -> i >= split).forEach(between::add);
        List<TargetEntry> now = list(between, Set.of());
        for (TargetListDelta step : between(older, newer, 1).split(5)) {
            now = apply(step, now).orElseThrow();
        }
        if (!between(older, newer, 1).isEmpty()) {
            assertThat(now).containsExactlyElementsIn(newer);
        }
    }

    /** A lost, duplicate or reordered delta causes a read, never a wrong list. */
    @Test
    void lostDuplicateAndReorderedDeltasAreDetected() {
        List<TargetEntry> one = list(Set.of(1), Set.of());
        List<TargetEntry> two = list(Set.of(1, 2), Set.of());
        List<TargetEntry> three = list(Set.of(2, 3), Set.of());
        TargetListDelta first = between(one, two, 1);
        TargetListDelta second = between(two, three, 2);
        assertThat(apply(second, one).isPresent()).isFalse();
        List<TargetEntry> known = apply(second, apply(first, one).orElseThrow()).orElseThrow();
        assertThat(known).containsExactlyElementsIn(three);
        assertThat(apply(second, known).orElseThrow()).containsExactlyElementsIn(three);
        assertThat(apply(first, known).isPresent()).isFalse();
    }
}
