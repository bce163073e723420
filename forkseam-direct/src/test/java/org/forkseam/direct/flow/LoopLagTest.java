package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when a loop counts as behind. */
class LoopLagTest {
    private long mNow = 1_000;
    private final LoopLag mLag = new LoopLag(40, mNow);

    private void ticks(int count, long late) {
        for (int i = 0; i < count; i++) {
            mNow += 40 + late;
            mLag.onTick(mNow);
        }
    }

    @Test
    void aRouterThatStartsIsBehindUntilItsTicksArePunctual() {
        assertThat(mLag.isBehind()).isTrue();
        ticks(3, 0);
        assertThat(mLag.isBehind()).isFalse();
    }

    @Test
    void lateTicksShowALoopThatIsBehind() {
        ticks(10, 0);
        ticks(3, 15);
        assertThat(mLag.isBehind()).isTrue();
        ticks(5, 1);
        assertThat(mLag.isBehind()).isFalse();
    }

    @Test
    void oneTickThatIsALittleLateShowsNothing() {
        ticks(10, 0);
        ticks(1, 10);
        assertThat(mLag.isBehind()).isFalse();
    }
}
