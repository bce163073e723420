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

/** Tests what one router tells others of a changed list of targets. */
class TargetNewsTest {
    private static List<TargetEntry> list(Set<Integer> ids, Set<Integer> leaving) {
        List<TargetEntry> list = new ArrayList<>();
        for (int id : ids) {
            list.add(
                    new TargetEntry("i-" + id, "p", "10.0.0.1:1", "a", 4, leaving.contains(id), 0));
        }
        return list;
    }

    private static TargetNews between(
            List<TargetEntry> older, List<TargetEntry> newer, long readAt) {
        return TargetNews.between(
                older, TargetNews.Listed.of(newer), readAt, StorePosition.of(0, readAt));
    }

    /** Takes news in, or returns empty if the list is to be read. */
    private static Optional<List<TargetEntry>> apply(TargetNews news, List<TargetEntry> list) {
        TargetNews.Listed applied = news.applyTo(TargetNews.Listed.of(list));
        assertThat(applied.fingerprint()).isEqualTo(TargetNews.fingerprint(applied.entries()));
        return news.isRight(applied) ? Optional.of(applied.entries()) : Optional.empty();
    }

    /** Hundreds of targets join and leave at once: all steps fit, and lead to the newer list. */
    @Property(tries = 100)
    void stepsLeadToTheNewerList(
            @ForAll @Size(max = 60) Set<@IntRange(max = 80) Integer> before,
            @ForAll @Size(max = 60) Set<@IntRange(max = 80) Integer> after,
            @ForAll @Size(max = 20) Set<@IntRange(max = 80) Integer> leaving,
            @ForAll @IntRange(min = 1, max = 12) int most) {
        List<TargetEntry> older = list(before, Set.of());
        List<TargetEntry> newer = list(after, leaving);
        List<TargetEntry> now = older;
        for (TargetNews step : between(older, newer, 1).inSteps(most)) {
            assertThat(step.changed().size() + step.removed().size()).isAtMost(most);
            now = apply(step, now).orElseThrow();
        }
        assertThat(now).containsExactlyElementsIn(newer);
    }

    /** A cold target's heartbeats are no news but for the first and the last. */
    @Test
    void coldTimeThatRunsOffIsNoNews() {
        List<TargetEntry> cold = List.of(cold(3_000));
        TargetNews news = between(cold, List.of(cold(1_800)), 2);
        assertThat(news.changed()).isEmpty();
        assertThat(news.isEmpty()).isTrue();
        assertThat(between(cold, List.of(cold(0)), 2).changed()).hasSize(1);
    }

    private static TargetEntry cold(long millis) {
        return new TargetEntry("i", "p", "10.0.0.1:1", "a", 4, false, millis);
    }

    /** A lost step is noticed at the last one; a lost last one at the next change or notice. */
    @Test
    void aStepThatIsMissingIsNoticed() {
        List<TargetEntry> older = list(Set.of(1, 2), Set.of());
        List<TargetNews> steps = between(older, list(Set.of(3, 4, 5), Set.of()), 1).inSteps(2);
        assertThat(steps).hasSize(3);
        for (int lost = 0; lost < 3; lost++) {
            Optional<List<TargetEntry>> now = Optional.of(older);
            for (int i = 0; i < 3; i++) {
                TargetNews step = steps.get(i);
                now = i == lost ? now : now.flatMap(list -> apply(step, list));
            }
            boolean whole = now.isPresent() && lost != 2;
            assertThat(whole).isFalse();
        }
    }

    @Property(tries = 300)
    void whoHoldsTheOlderListGetsTheNewer(
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> before,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> after,
            @ForAll @Size(max = 4) Set<@IntRange(max = 15) Integer> leaving) {
        List<TargetEntry> older = list(before, Set.of());
        List<TargetEntry> newer = list(after, leaving);
        TargetNews news = between(older, newer, 1);
        assertThat(apply(news, older).orElseThrow()).containsExactlyElementsIn(newer);
    }

    /** A router that has read the list for itself holds something in between, or nothing of it. */
    @Property(tries = 500)
    void whoHoldsAnotherListGetsTheNewerOrReads(
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> before,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> after,
            @ForAll @Size(max = 4) Set<@IntRange(max = 15) Integer> leaving,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> other) {
        List<TargetEntry> newer = list(after, leaving);
        TargetNews news = between(list(before, Set.of()), newer, 1);
        Optional<List<TargetEntry>> now = apply(news, list(other, Set.of()));
        now.ifPresent(l -> assertThat(l).containsExactlyElementsIn(newer));
    }

    /** Targets came and went while this router read: it has some of the change already. */
    @Property(tries = 300)
    void whoHasReadInBetweenFollowsOn(
            @ForAll @Size(max = 30) Set<@IntRange(max = 40) Integer> before,
            @ForAll @Size(max = 30) Set<@IntRange(max = 40) Integer> after,
            @ForAll @IntRange(max = 40) int split) {
        List<TargetEntry> older = list(before, Set.of());
        List<TargetEntry> newer = list(after, Set.of());
        Set<Integer> between = new HashSet<>();
        before.stream().filter(i -> i < split).forEach(between::add);
        after.stream().filter(i -> i >= split).forEach(between::add);
        List<TargetEntry> now = list(between, Set.of());
        for (TargetNews step : between(older, newer, 1).inSteps(5)) {
            now = apply(step, now).orElseThrow();
        }
        if (!between(older, newer, 1).isEmpty()) {
            assertThat(now).containsExactlyElementsIn(newer);
        }
    }

    /**
     * A datagram that was lost, came twice or out of turn leads to a read, never to a wrong list.
     */
    @Test
    void lostDoubledAndReorderedNewsAreNoticed() {
        List<TargetEntry> one = list(Set.of(1), Set.of());
        List<TargetEntry> two = list(Set.of(1, 2), Set.of());
        List<TargetEntry> three = list(Set.of(2, 3), Set.of());
        TargetNews first = between(one, two, 1);
        TargetNews second = between(two, three, 2);
        assertThat(apply(second, one).isPresent()).isFalse();
        List<TargetEntry> known = apply(second, apply(first, one).orElseThrow()).orElseThrow();
        assertThat(known).containsExactlyElementsIn(three);
        assertThat(apply(second, known).orElseThrow()).containsExactlyElementsIn(three);
        assertThat(apply(first, known).isPresent()).isFalse();
    }
}
