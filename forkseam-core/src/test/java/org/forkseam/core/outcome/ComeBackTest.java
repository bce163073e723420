package org.forkseam.core.outcome;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Tests when refused callers are asked to come back. */
class ComeBackTest {
    private final ComeBack mComeBack = ComeBack.since(0);

    private long refuse(int count, long now) {
        long last = 0;
        for (int i = 0; i < count; i++) {
            last = mComeBack.onRefused(now);
        }
        return last;
    }

    private void serve(int count, long from, long to) {
        for (int i = 0; i < count; i++) {
            mComeBack.onServed(from + (to - from) * i / count);
        }
    }

    @Test
    void aPoolThatServesHasRoomSoon() {
        serve(50, 0, 1_000);
        assertThat(refuse(1, 1_000)).isEqualTo(100);
    }

    /** Thirty refused at a pool that serves some thirty a second: about a second. */
    @Test
    void theMoreAreRefusedTheLaterTheyComeBack() {
        serve(150, 0, 5_000);
        long few = refuse(10, 5_000);
        long many = refuse(20, 5_000);
        assertThat(few).isLessThan(many);
        assertThat(many).isAtLeast(800L);
        assertThat(many).isAtMost(1_300L);
    }

    @Test
    void whatWasRefusedLongAgoCountsNoMore() {
        refuse(100, 0);
        serve(30, 9_000, 10_000);
        assertThat(refuse(1, 10_000)).isEqualTo(100);
    }

    /** Whatever happens: never sooner than anything can change, never very late. */
    @Property(seed = "4741")
    void theWaitStaysWithinItsBounds(
            @ForAll @Size(max = 80) List<@IntRange(max = 3_000) Integer> pauses) {
        ComeBack c = ComeBack.since(0);
        long now = 0;
        for (int p : pauses) {
            now += p;
            if (p % 3 == 0) {
                c.onServed(now);
                continue;
            }
            assertThat(c.onRefused(now)).isAtLeast(100L);
            assertThat(c.onRefused(now)).isAtMost(2_000L);
        }
    }
}
