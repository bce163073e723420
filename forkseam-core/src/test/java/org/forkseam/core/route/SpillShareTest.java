package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when a pool counts as out of balance, and that it settles. */
class SpillShareTest {
    private final SpillShare mShare = SpillShare.since(0);

    /** Notes so many requests of two seconds, of which one in some spills. */
    private long play(long from, int requests, int oneIn) {
        for (int i = 0; i < requests; i++) {
            long at = from + i * 2_000L / requests;
            mShare.onPick(i % oneIn == 0 ? Pick.Reason.SPILL : Pick.Reason.HOME, at);
        }
        return from + 2_000;
    }

    @Test
    void fewSpillsAreBalance() {
        assertThat(mShare.isOutOfBalance(play(0, 60, 10))).isFalse();
    }

    @Test
    void manySpillsAreNot() {
        assertThat(mShare.isOutOfBalance(play(0, 60, 4))).isTrue();
    }

    @Test
    void fewRequestsSayNothing() {
        assertThat(mShare.isOutOfBalance(play(0, 15, 1))).isFalse();
    }

    @Test
    void itSettlesOnceRequestsStayAtHome() {
        long now = play(0, 60, 3);
        assertThat(mShare.isOutOfBalance(now)).isTrue();
        assertThat(mShare.isOutOfBalance(play(now, 60, 20))).isFalse();
    }
}
