package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.Random;

/** Tests when a target's failures speak against it. */
class ErrorRateTest {
    /**
     * Plays requests over the targets of a pool in turn, and counts how often a target that has
     * just failed twice in a row stands out.
     *
     * @param bad targets that fail 45 in 100 of their requests
     */
    private static int[] standOuts(int targets, int bad, long seed) {
        Random random = new Random(seed);
        ErrorRate pool = new ErrorRate();
        ErrorRate[] own = new ErrorRate[targets];
        boolean[] failedBefore = new boolean[targets];
        int[] count = new int[2];
        for (int i = 0; i < 4_000; i++) {
            int t = i % targets;
            own[t] = own[t] == null ? new ErrorRate() : own[t];
            boolean failed = t < bad && random.nextDouble() < 0.45;
            own[t].note(failed);
            pool.note(failed);
            if (failed && failedBefore[t]) {
                count[own[t].standsOutOf(pool) ? 1 : 0]++;
            }
            failedBefore[t] = failed;
        }
        return count;
    }

    @Test
    void oneBadTargetOfManyStandsOut() {
        int[] count = standOuts(13, 1, 1);
        assertThat(count[1]).isGreaterThan(4 * count[0]);
    }

    /** When all fail alike, none stands out but by rare chance. */
    @Property(seed = "4751", tries = 50)
    void noTargetStandsOutOfAPoolThatFailsAlike(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 30) int targets) {
        int[] count = standOuts(targets, targets, seed);
        assertThat(count[1]).isLessThan(1 + count[0] / 5);
    }

    @Test
    void aTargetWithoutFailuresDoesNotStandOutOnceThePoolFails() {
        ErrorRate pool = new ErrorRate();
        pool.note(true);
        assertThat(new ErrorRate().standsOutOf(pool)).isFalse();
    }
}
