package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.forkseam.core.member.TargetEntry;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
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
        return TargetNews.between(older, TargetNews.fingerprint(older), newer, readAt, readAt);
    }

    private static Optional<List<TargetEntry>> apply(TargetNews news, List<TargetEntry> list) {
        return news.applyTo(list, TargetNews.fingerprint(list));
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
        for (TargetNews step : between(older, newer, 1).inSteps(older, most)) {
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
        assertThat(news.after()).isEqualTo(news.before());
        assertThat(between(cold, List.of(cold(0)), 2).changed()).hasSize(1);
    }

    private static TargetEntry cold(long millis) {
        return new TargetEntry("i", "p", "10.0.0.1:1", "a", 4, false, millis);
    }

    /** A lost step is noticed at the next. */
    @Test
    void aStepThatIsMissingIsNoticed() {
        List<TargetEntry> older = list(Set.of(1, 2), Set.of());
        List<TargetNews> steps =
                between(older, list(Set.of(3, 4, 5), Set.of()), 1).inSteps(older, 2);
        assertThat(steps).hasSize(3);
        assertThat(apply(steps.get(1), older).isPresent()).isFalse();
        List<TargetEntry> first = apply(steps.get(0), older).orElseThrow();
        assertThat(apply(steps.get(2), first).isPresent()).isFalse();
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

    @Property(tries = 300)
    void whoHoldsAnotherListIsToldNothing(
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> before,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> after,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> other) {
        TargetNews news = between(list(before, Set.of()), list(after, Set.of()), 1);
        if (!other.equals(before)) {
            assertThat(apply(news, list(other, Set.of())).isPresent()).isFalse();
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
        assertThat(apply(second, known).isPresent()).isFalse();
        assertThat(apply(first, known).isPresent()).isFalse();
    }
}
