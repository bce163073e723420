package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests where work goes on a large fleet, on calm seconds and while its load triples for five.
 *
 * <p>The pool as a whole has room: 42 engines of 12 places hold what 945 requests a second need as
 * long as no prompt is read twice. By itself each of 33 routers hears of an engine once in four
 * seconds; what it then takes for a target's load is mostly its own part of it, so that it moves
 * work away from homes that have room, and prompts are copied and read again for nothing.
 *
 * <p>The bounds below lie between what routers that tell each other reach and what the same routers
 * reach alone: over the three seeds, calm, 14 to 30 and 138 to 189 thousand tokens are read again.
 */
class BurstTest {
    private static final long[] SEEDS = {11, 12, 13};
    private static final double BURST = 3;

    /** Shared tokens read again in ten calm seconds. */
    private static final long CALM_AGAIN = 60_000;

    /** Shared tokens copied in ten calm seconds. */
    private static final long CALM_COPIED = 400_000;

    /** Shared tokens read again, and copied, in five seconds of three times the load. */
    private static final long BURST_AGAIN = 100_000;

    private static final long BURST_COPIED = 1_400_000;

    /** Share of requests whose first piece is in time in such seconds. */
    private static final double BURST_IN_TIME = 0.97;

    /** Mean age of what a router knows of an engine's load; alone it is over 3.7 seconds. */
    private static final double READING_MILLIS = 700;

    /** The same at ten times as many routers; a reading takes some eight rounds to all. */
    private static final double READING_MILLIS_340 = 1_000;

    private static PoolModel fleet(long seed) {
        PoolModel m = new PoolModel(new PoolModel.Setup(33, 42, 12, true), seed);
        m.play(8, 1); // prompts are read, and routers have heard of most engines
        return m;
    }

    @Test
    void calmSecondsReadHardlyAnyPromptTwice() {
        for (long seed : SEEDS) {
            PoolModel m = fleet(seed);
            PoolModel.Outcome o = m.play(10, 1);
            assertThat(m.meanReadingAge()).isLessThan(READING_MILLIS);
            m.drain(20);
            assertThat(o.tokensReadAgain()).isLessThan(CALM_AGAIN);
            assertThat(o.tokensCopied()).isLessThan(CALM_COPIED);
            assertThat(o.shareInTime()).isGreaterThan(0.985);
        }
    }

    @Test
    void aBurstOfThreeIsServedInTimeWithoutReadingPromptsTwice() {
        for (long seed : SEEDS) {
            PoolModel m = fleet(seed);
            PoolModel.Outcome o = m.play(5, BURST);
            m.drain(20);
            assertThat(o.shareInTime()).isGreaterThan(BURST_IN_TIME);
            assertThat(o.tokensReadAgain()).isLessThan(BURST_AGAIN);
            assertThat(o.tokensCopied()).isLessThan(BURST_COPIED);
        }
    }

    /** What a router sends does not grow with the number of routers, and readings reach all. */
    @Test
    void readingsReachAllOfTenTimesAsManyRouters() {
        PoolModel m = new PoolModel(new PoolModel.Setup(340, 42, 12, true), 14);
        m.play(4, 1);
        assertThat(m.meanReadingAge()).isLessThan(READING_MILLIS_340);
    }
}
