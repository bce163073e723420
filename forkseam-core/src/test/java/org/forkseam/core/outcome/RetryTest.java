package org.forkseam.core.outcome;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import java.util.SplittableRandom;

/** Tests that only provably safe retries are allowed, and that retries are limited. */
class RetryTest {
    @ParameterizedTest
    @CsvSource({
        // kind, reason, unrepeatable, response started, retry
        "NOT_RUN,      OVER_BOUND,    true,  false, true",
        "NOT_RUN,      LEAVING,       true,  false, true",
        "NOT_RUN,      UNREACHABLE,   true,  false, true",
        "NOT_RUN,      STORE_DOWN,    true,  false, false",
        "NOT_RUN,      DEADLINE,      false, false, false",
        "NOT_RUN,      CANCELLED,     false, false, false",
        "MAY_HAVE_RUN, CUT,           true,  false, false",
        "MAY_HAVE_RUN, CUT,           false, false, true",
        "MAY_HAVE_RUN, CUT,           false, true,  false",
        "FAILED,       BROKEN_ANSWER, true,  false, false",
        "FAILED,       BROKEN_ANSWER, false, false, true",
        "FAILED,       BROKEN_ANSWER, false, true,  false",
    })
    void decides(
            OutcomeKind kind,
            RefusalReason reason,
            boolean unrepeatable,
            boolean responseStarted,
            boolean retry) {
        AttemptFailure r = new AttemptFailure(kind, reason, 0, "", "");
        assertThat(RetryPolicy.maySafelyRetry(r, unrepeatable, responseStarted)).isEqualTo(retry);
    }

    @ParameterizedTest
    @EnumSource(RefusalReason.class)
    void unrepeatableThatMayHaveRunIsNeverRetried(RefusalReason reason) {
        assertThat(RetryPolicy.maySafelyRetry(AttemptFailure.mayHaveRun(reason), true, false))
                .isFalse();
        assertThat(RetryPolicy.maySafelyRetry(AttemptFailure.failed(reason, ""), true, false))
                .isFalse();
    }

    @Test
    void budgetBoundsRetriesToAShareOfRequests() {
        RetryBudget b = RetryBudget.of(0.2, 10);
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            b.onRequest();
            while (b.tryRetry()) {
                retries++;
            }
        }
        assertThat(retries).isAtMost(210);
        assertThat(retries).isAtLeast(190);
    }

    @Test
    void retryDelaysAreJittered() {
        SplittableRandom random = new SplittableRandom(1);
        long distinct =
                random.ints(100)
                        .mapToLong(i -> RetryAfter.withJitter(2000, random))
                        .distinct()
                        .count();
        assertThat(distinct).isGreaterThan(80);
    }
}
