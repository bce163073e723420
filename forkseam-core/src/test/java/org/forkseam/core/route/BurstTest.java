package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests where work goes on a large fleet, on calm seconds and in bursts of five.
 *
 * <p>Calm, by itself each of 33 routers hears of an engine once in four seconds; what it then takes
 * for a target's load is mostly its own part of it, so that it moves work away from homes that have
 * room, and prompts are read again for nothing. At three times the load the pool is full: the more
 * prompts an engine works on, the longer each step takes. The queues then grow to twice the places,
 * and nearly all that wait are late: on the bench 0.81, 0.63 and 0.58 of the credit were earned in
 * three pairs of seconds, in the model 0.79 and 0.32 of the requests of two halves are in time.
 *
 * <p>The bounds below lie between what the routers reach and what they reach without the mechanism,
 * on each of the three seeds.
 */
class BurstTest {
    private static final long[] SEEDS = {11, 12, 13};

    /**
     * Shared tokens read again in ten calm seconds: 50 to 67 thousand, and 130 to 208 thousand if
     * routers do not tell each other of load.
     */
    private static final long CALM_AGAIN = 90_000;

    /** The same in five seconds of 1.8 times the load: 51 to 72, and 110 to 174 thousand. */
    private static final long BUSY_AGAIN = 90_000;

    /** Share in time at 1.8 times the load: 0.985 to 0.994. */
    private static final double BUSY_IN_TIME = 0.98;

    /** Share in time at three times the load: 0.55 to 0.59. */
    private static final double FULL_IN_TIME = 0.53;

    /** Requests, of 4,700, that began after their callers had left. */
    private static final int FULL_LOST = 5;

    /** Mean age of what a router knows of an engine's load; alone it is over 3.7 seconds. */
    private static final double READING_MILLIS = 700;

    /** The same at ten times as many routers; a reading takes some eight rounds to all. */
    private static final double READING_MILLIS_340 = 1_000;

    private static PoolModel fleet(long seed) {
        PoolModel m = new PoolModel(new PoolModel.Setup(PoolModel.Fleet.LARGE, 33, 42, true), seed);
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
            assertThat(o.shareInTime()).isGreaterThan(0.99);
        }
    }

    @Test
    void aBurstWithinThePoolsPlacesIsServedInTime() {
        for (long seed : SEEDS) {
            PoolModel m = fleet(seed);
            PoolModel.Outcome o = m.play(5, 1.8);
            m.drain(20);
            assertThat(o.shareInTime()).isGreaterThan(BUSY_IN_TIME);
            assertThat(o.tokensReadAgain()).isLessThan(BUSY_AGAIN);
        }
    }

    /**
     * The pool is beyond its places here. Routers that hold requests back until places are free,
     * the newest first, had 0.62 to 0.65 in time in the model, but on the bench 3.3% of a day's
     * requests were not served in place of 1.2%, and as much of the credit was earned.
     */
    @Test
    void aBurstBeyondThePoolsPlacesIsServedLate() {
        for (long seed : SEEDS) {
            PoolModel m = fleet(seed);
            PoolModel.Outcome o = m.play(5, 3);
            m.drain(20);
            assertThat(o.shareInTime()).isGreaterThan(FULL_IN_TIME);
            assertThat(o.lost()).isAtMost(FULL_LOST);
        }
    }

    /** What a router sends does not grow with the number of routers, and readings reach all. */
    @Test
    void readingsReachAllOfTenTimesAsManyRouters() {
        PoolModel m = new PoolModel(new PoolModel.Setup(PoolModel.Fleet.LARGE, 340, 42, true), 14);
        m.play(4, 1);
        assertThat(m.meanReadingAge()).isLessThan(READING_MILLIS_340);
    }
}
