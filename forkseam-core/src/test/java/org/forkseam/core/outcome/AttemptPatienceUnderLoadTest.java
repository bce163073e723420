package org.forkseam.core.outcome;

import static com.google.common.truth.Truth.assertThat;
import static org.forkseam.core.outcome.QueueingPoolModel.SECOND;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.function.LongToDoubleFunction;

/**
 * Tests second attempts of 30 routers at a pool that can serve 320 requests per second. Guards
 * against routers that abandon requests in targets' queues and send them again.
 */
class AttemptPatienceUnderLoadTest {
    private static final double CAPACITY = 320;
    private static final double OVERLOAD = 440;
    private static final long NEVER = Long.MAX_VALUE;
    private static final int SECONDS = 6;
    private static final int STOPS_AT = 3 * SECOND;
    private static final int BURST_BEGINS = 3;
    private static final int BURST_ENDS = 8;
    private static final int RECOVERED_AT = BURST_ENDS + 2;
    private static final int BURST_RUN_SECONDS = 14;

    private static QueueingPoolModel run(
            boolean reports, LongToDoubleFunction rate, long stopsAt, long seed, int seconds) {
        return QueueingPoolModel.run(
                new QueueingPoolModel.Setup(true, reports, rate, stopsAt, seed),
                (long) seconds * SECOND);
    }

    private static double burst(long now) {
        boolean high = now >= BURST_BEGINS * SECOND && now < BURST_ENDS * SECOND;
        return (high ? 2 : 0.8) * CAPACITY;
    }

    /** Guards against a model in which second attempts do no harm. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void fixedTimeoutAbandonsQueuedAttempts(long seed) {
        QueueingPoolModel m =
                QueueingPoolModel.run(
                        new QueueingPoolModel.Setup(false, true, t -> OVERLOAD, NEVER, seed),
                        SECONDS * SECOND);
        assertThat(m.mAbandonedInQueue).isGreaterThan(m.mAttempts / 2);
        assertThat(m.mAnswered).isLessThan((int) (CAPACITY * SECONDS / 2));
    }

    @ParameterizedTest
    @CsvSource({"true,1", "true,2", "true,3", "false,1", "false,2", "false,3"})
    void queuedAttemptsAreNotAbandoned(boolean reports, long seed) {
        QueueingPoolModel m = run(reports, t -> OVERLOAD, NEVER, seed, SECONDS);
        assertThat(m.mAbandonedInQueue).isLessThan(m.mAttempts * 2 / 100);
        assertThat(m.mAnswered).isGreaterThan((int) (0.9 * CAPACITY * SECONDS));
    }

    @ParameterizedTest
    @CsvSource({"true,1", "true,2", "true,3", "false,1", "false,2", "false,3"})
    void stoppedTargetIsLeftSoon(boolean reports, long seed) {
        QueueingPoolModel light = run(reports, t -> CAPACITY / 2, STOPS_AT, seed, SECONDS);
        assertThat(light.mLongestAtStopped).isAtMost(700);
        QueueingPoolModel full = run(reports, t -> OVERLOAD, STOPS_AT, seed, SECONDS);
        assertThat(full.mLongestAtStopped).isAtMost(700);
    }

    /** Guards against a shortage that outlasts its cause because requests are sent twice. */
    @ParameterizedTest
    @CsvSource({"true,1", "true,2", "true,3", "false,1", "false,2", "false,3"})
    void poolRecoversFromABurst(boolean reports, long seed) {
        QueueingPoolModel m =
                run(reports, AttemptPatienceUnderLoadTest::burst, NEVER, seed, BURST_RUN_SECONDS);
        for (int s = 0; s < BURST_RUN_SECONDS; s++) {
            assertThat(m.mSecondAttemptsIn[s]).isAtMost(m.mRequestsIn[s] / 20);
        }
        for (int s = RECOVERED_AT; s < BURST_RUN_SECONDS; s++) {
            assertThat(m.mInTimeIn[s]).isAtLeast((int) (0.9 * m.mRequestsIn[s]));
        }
    }
}
