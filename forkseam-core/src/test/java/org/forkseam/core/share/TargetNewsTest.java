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
import java.util.Set;

/** Tests what one router tells others of a changed list of targets. */
class TargetNewsTest {
    private static List<TargetEntry> list(Set<Integer> ids, Set<Integer> leaving) {
        List<TargetEntry> list = new ArrayList<>();
        for (int id : ids) {
            list.add(new TargetEntry("i-" + id, "p", "10.0.0.1:1", "a", 4, leaving.contains(id), 0));
        }
        return list;
    }

    @Property(tries = 300)
    void whoHoldsTheOlderListGetsTheNewer(
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> before,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> after,
            @ForAll @Size(max = 4) Set<@IntRange(max = 15) Integer> leaving) {
        List<TargetEntry> older = list(before, Set.of());
        List<TargetEntry> newer = list(after, leaving);
        TargetNews news = TargetNews.between(older, newer, 1, 2);
        assertThat(news.applyTo(older).orElseThrow()).containsExactlyElementsIn(newer);
    }

    @Property(tries = 300)
    void whoHoldsAnotherListIsToldNothing(
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> before,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> after,
            @ForAll @Size(max = 12) Set<@IntRange(max = 15) Integer> other) {
        TargetNews news = TargetNews.between(list(before, Set.of()), list(after, Set.of()), 1, 2);
        if (!other.equals(before)) {
            assertThat(news.applyTo(list(other, Set.of())).isPresent()).isFalse();
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
        TargetNews first = TargetNews.between(one, two, 1, 1);
        TargetNews second = TargetNews.between(two, three, 2, 2);
        assertThat(second.applyTo(one).isPresent()).isFalse();
        List<TargetEntry> known = second.applyTo(first.applyTo(one).orElseThrow()).orElseThrow();
        assertThat(known).containsExactlyElementsIn(three);
        assertThat(second.applyTo(known).isPresent()).isFalse();
        assertThat(first.applyTo(known).isPresent()).isFalse();
    }
}
