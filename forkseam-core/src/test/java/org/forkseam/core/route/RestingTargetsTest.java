package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that no engine is overloaded while others of its pool rest, as when operators evacuate two
 * of four failure domains in calm seconds. The resting ones count for the mean that the bound is
 * twice of: with half of the pool resting, each of the others must stay within three requests of
 * their own mean.
 *
 * <p>Seen: of 1,822 requests of five such seconds 918 reached an engine over the bound, with 23
 * routers and 29 engines. Each router passed over homes at their bound and chose the least loaded
 * engine by readings half a second old, which was the same one for all.
 */
class RestingTargetsTest {
    /** Operators accept three in a hundred. */
    private static final double ACCEPTED = 0.03;

    @ParameterizedTest
    @CsvSource({"0", "7", "10", "12", "14"})
    void noEngineIsOverloadedWhileOthersRest(int resting) {
        for (long seed : new long[] {1, 2, 3}) {
            PoolModel.Setup setup = new PoolModel.Setup(PoolModel.Fleet.SHIFTED, 23, 29, true);
            PoolModel m = new PoolModel(setup, seed);
            m.play(10, 1);
            m.rest(resting);
            m.play(4, 1); // what was under way has ended
            PoolModel.Outcome o = m.play(5, 1);
            m.drain(5);
            assertThat(o.shareOverBound()).isLessThan(ACCEPTED);
            assertThat(o.shareInTime()).isGreaterThan(0.99);
        }
    }
}
