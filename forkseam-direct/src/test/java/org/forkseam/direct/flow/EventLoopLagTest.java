package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when a loop counts as behind. */
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
    void aRouterThatStartsIsBehindUntilItsTicksArePunctual() {
        assertThat(mLag.isOverloaded()).isTrue();
        ticks(3, 0);
        assertThat(mLag.isOverloaded()).isFalse();
    }

    @Test
    void lateTicksShowALoopThatIsBehind() {
        ticks(10, 0);
        ticks(3, 15);
        assertThat(mLag.isOverloaded()).isTrue();
        ticks(5, 1);
        assertThat(mLag.isOverloaded()).isFalse();
    }

    @Test
    void oneTickThatIsALittleLateShowsNothing() {
        ticks(10, 0);
        ticks(1, 10);
        assertThat(mLag.isOverloaded()).isFalse();
    }
}
