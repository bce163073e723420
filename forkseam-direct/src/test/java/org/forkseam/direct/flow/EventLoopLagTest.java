package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the detection of an overloaded event loop. */
class EventLoopLagTest {
    private long mNow = 1_000;
    private final EventLoopLag mLag = new EventLoopLag(40, mNow);

    private void ticks(int count, long late) {
        for (int i = 0; i < count; i++) {
            mNow += 40 + late;
            mLag.onTick(mNow);
        }
    }

    @Test
    void startsOverloadedUntilTicksAreOnTime() {
        assertThat(mLag.isOverloaded()).isTrue();
        ticks(3, 0);
        assertThat(mLag.isOverloaded()).isFalse();
    }

    @Test
    void lateTicksIndicateOverload() {
        ticks(10, 0);
        ticks(3, 15);
        assertThat(mLag.isOverloaded()).isTrue();
        ticks(5, 1);
        assertThat(mLag.isOverloaded()).isFalse();
    }

    @Test
    void singleLateTickIsIgnored() {
        ticks(10, 0);
        ticks(1, 10);
        assertThat(mLag.isOverloaded()).isFalse();
    }
}
