package org.forkseam.core.outcome;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests the limit on retries in a sliding window. */
class SlidingWindowRetryBudgetTest {
    private static final long WINDOW = 10_000;

    @Test
    void retriesAreReplenishedAsTheWindowSlides() {
        SlidingWindowRetryBudget b = SlidingWindowRetryBudget.of(0.2, 2, WINDOW);
        assertThat(b.tryRetry(0)).isTrue();
        assertThat(b.tryRetry(0)).isTrue();
        assertThat(b.tryRetry(0)).isFalse();
        assertThat(b.tryRetry(WINDOW + 600)).isTrue();
    }

    @Test
    void requestsEarnRetries() {
        SlidingWindowRetryBudget b = SlidingWindowRetryBudget.of(0.2, 0, WINDOW);
        for (int i = 0; i < 10; i++) {
            b.onRequest(100);
        }
        assertThat(b.tryRetry(100)).isTrue();
        assertThat(b.tryRetry(100)).isTrue();
        assertThat(b.tryRetry(100)).isFalse();
    }

    /** Settings may change at runtime; requests already counted remain. */
    @Test
    void reducedShareTakesEffectImmediately() {
        double[] share = {0.5};
        SlidingWindowRetryBudget b = SlidingWindowRetryBudget.of(() -> share[0], () -> 0, WINDOW);
        for (int i = 0; i < 10; i++) {
            b.onRequest(100);
        }
        assertThat(b.tryRetry(100)).isTrue();
        share[0] = 0.1;
        assertThat(b.tryRetry(100)).isFalse();
        share[0] = 0.2;
        assertThat(b.tryRetry(100)).isTrue();
    }

    /**
     * In each window, retries stay within the share of two windows' requests plus the allowance.
     */
    @Property(tries = 200)
    void noWindowExceedsItsShare(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(max = 400) Integer> gaps) {
        SlidingWindowRetryBudget b = SlidingWindowRetryBudget.of(0.2, 3, WINDOW);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int gap : gaps) {
            now += gap;
            b.onRequest(now);
            requests.add(now);
            if (b.tryRetry(now)) {
                retries.add(now);
            }
        }
        for (long end : retries) {
            long n = retries.stream().filter(t -> t > end - WINDOW && t <= end).count();
            long r = requests.stream().filter(t -> t > end - 2 * WINDOW && t <= end).count();
            assertThat((double) n).isAtMost(0.2 * r + 3);
        }
    }
}
