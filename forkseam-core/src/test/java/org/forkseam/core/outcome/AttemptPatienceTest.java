package org.forkseam.core.outcome;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.outcome.AttemptPatience.Verdict;
import org.forkseam.core.outcome.AttemptState.TargetQueue;
import org.junit.jupiter.api.Test;

/** Tests the rules for second attempts in a contended pool. */
class AttemptPatienceTest {
    private static final long OBJECTIVE = 267;
    private static final long REMAINING = 1_000;
    private static final long NOW = 5_000;
    private static final PoolPressure ROOM = new PoolPressure(false, true);

    private final AttemptPatience mPatience = AttemptPatience.create();

    private void answer(int count, long millis, TargetQueue queue) {
        for (int i = 0; i < count; i++) {
            mPatience.onRequest(NOW);
            mPatience.onResponse(millis, queue, NOW);
        }
    }

    private static AttemptState silent(long millis, TargetQueue queue) {
        return new AttemptState(millis, 0, queue, OBJECTIVE, REMAINING);
    }

    private Verdict judge(AttemptState s) {
        return mPatience.judge(s, ROOM, NOW);
    }

    @Test
    void timeoutIsThreeUsualResponses() {
        answer(40, 100, TargetQueue.UNKNOWN);
        assertThat(judge(silent(300, TargetQueue.UNKNOWN))).isEqualTo(Verdict.WAIT);
        assertThat(judge(silent(301, TargetQueue.UNKNOWN))).isEqualTo(Verdict.SLOW);
    }

    /** Guards against second attempts for ordinary variation in a fast pool. */
    @Test
    void timeoutIsAtLeastAShareOfTheObjective() {
        answer(40, 10, TargetQueue.UNKNOWN);
        assertThat(judge(silent(160, TargetQueue.UNKNOWN))).isEqualTo(Verdict.WAIT);
        assertThat(judge(silent(161, TargetQueue.UNKNOWN))).isEqualTo(Verdict.SLOW);
    }

    /** Guards against sending requests again that wait in a queue whose length is known. */
    @Test
    void reportedQueueAndSlowdownExtendTheTimeout() {
        answer(40, 50, TargetQueue.UNKNOWN);
        assertThat(judge(silent(700, new TargetQueue(24, 4, 1.0, 10)))).isEqualTo(Verdict.WAIT);
        assertThat(judge(silent(701, new TargetQueue(24, 4, 1.0, 10)))).isEqualTo(Verdict.SLOW);
        assertThat(judge(silent(1_750, new TargetQueue(24, 4, 2.5, 10)))).isEqualTo(Verdict.WAIT);
    }

    /** Guards against a service time that grows with the queues and lengthens the timeout. */
    @Test
    void serviceTimeExcludesTimeInQueues() {
        answer(40, 350, new TargetQueue(24, 4, 1.0, 10));
        assertThat(mPatience.snapshot(NOW).serviceMillis()).isEqualTo(50);
        assertThat(mPatience.snapshot(NOW).usualMillis()).isEqualTo(350);
    }

    @Test
    void secondAttemptIsWithheldUnlessItCanSucceed() {
        answer(40, 100, TargetQueue.UNKNOWN);
        AttemptState s = silent(400, TargetQueue.UNKNOWN);
        assertThat(mPatience.judge(s, new PoolPressure(true, true), NOW))
                .isEqualTo(Verdict.SHORTAGE);
        assertThat(mPatience.judge(s, new PoolPressure(false, false), NOW))
                .isEqualTo(Verdict.NO_ROOM);
        AttemptState late = new AttemptState(400, 0, TargetQueue.UNKNOWN, OBJECTIVE, 99);
        assertThat(judge(late)).isEqualTo(Verdict.NO_TIME);
    }

    @Test
    void secondAttemptsAreOneInTwentyRequests() {
        answer(40, 100, TargetQueue.UNKNOWN);
        AttemptState s = silent(400, TargetQueue.UNKNOWN);
        mPatience.onSecondAttempt(NOW);
        assertThat(judge(s)).isEqualTo(Verdict.SLOW);
        mPatience.onSecondAttempt(NOW);
        assertThat(judge(s)).isEqualTo(Verdict.LIMIT);
    }

    /** Guards against a stopped target that keeps its requests because the pool is full. */
    @Test
    void stoppedTargetIsLeftWhateverThePressure() {
        AttemptState s = new AttemptState(601, 601, TargetQueue.UNKNOWN, OBJECTIVE, REMAINING);
        assertThat(mPatience.judge(s, new PoolPressure(true, false), NOW))
                .isEqualTo(Verdict.SILENT);
    }

    /**
     * A target that answers only other routers works; the queue that it reports is waited for. An
     * old report says nothing.
     */
    @Test
    void targetThatReportsToOthersIsNotStopped() {
        answer(40, 200, TargetQueue.UNKNOWN);
        TargetQueue fresh = new TargetQueue(12, 4, 1.0, 100);
        assertThat(judge(new AttemptState(1_500, 1_500, fresh, OBJECTIVE, REMAINING)))
                .isEqualTo(Verdict.WAIT);
        assertThat(judge(new AttemptState(1_601, 1_601, fresh, OBJECTIVE, REMAINING)))
                .isEqualTo(Verdict.SILENT);
        TargetQueue old = new TargetQueue(12, 4, 1.0, 601);
        assertThat(judge(new AttemptState(601, 601, old, OBJECTIVE, REMAINING)))
                .isEqualTo(Verdict.SILENT);
    }

    /** Guards against a usual response time from a burst that ended long ago. */
    @Test
    void oldResponseTimesExpire() {
        answer(40, 900, TargetQueue.UNKNOWN);
        assertThat(mPatience.snapshot(NOW + 10_000).usualMillis()).isEqualTo(900);
        assertThat(mPatience.snapshot(NOW + 10_001).usualMillis()).isEqualTo(-1);
    }

    /** A router with few requests may make one second attempt per twenty of them. */
    @Test
    void routerWithFewRequestsSavesUpForASecondAttempt() {
        SecondAttemptLimiter limiter = SecondAttemptLimiter.create();
        for (int i = 0; i < 19; i++) {
            limiter.onRequest(i * 500L);
        }
        assertThat(limiter.allows(9_500)).isFalse();
        limiter.onRequest(9_500);
        assertThat(limiter.allows(9_500)).isTrue();
        limiter.onSecondAttempt(9_500);
        assertThat(limiter.allows(9_500)).isFalse();
    }

    /** Requests earn second attempts for two seconds only. */
    @Test
    void requestsOfABurstExpire() {
        SecondAttemptLimiter limiter = SecondAttemptLimiter.create();
        for (int i = 0; i < 200; i++) {
            limiter.onRequest(0);
        }
        limiter.onSecondAttempt(0);
        assertThat(limiter.allows(1_900)).isTrue();
        assertThat(limiter.allows(2_000)).isFalse();
    }
}
