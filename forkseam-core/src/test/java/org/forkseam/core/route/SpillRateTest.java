package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when a pool counts as imbalanced. */
class SpillRateTest {
    private final SpillRate mRate = SpillRate.startingAt(0);

    /** Records requests over two seconds, of which one in {@code oneIn} spills. */
    private long recordPicks(long from, int requests, int oneIn) {
        for (int i = 0; i < requests; i++) {
            long at = from + i * 2_000L / requests;
            mRate.onPick(i % oneIn == 0 ? Pick.Reason.SPILL : Pick.Reason.HOME, at);
        }
        return from + 2_000;
    }

    @Test
    void lowSpillRateIsBalanced() {
        assertThat(mRate.isImbalanced(recordPicks(0, 60, 10))).isFalse();
    }

    @Test
    void highSpillRateIsImbalanced() {
        assertThat(mRate.isImbalanced(recordPicks(0, 60, 4))).isTrue();
    }

    @Test
    void tooFewRequestsAreBalanced() {
        assertThat(mRate.isImbalanced(recordPicks(0, 15, 1))).isFalse();
    }

    @Test
    void recoversOnceRequestsStayAtHome() {
        long now = recordPicks(0, 60, 3);
        assertThat(mRate.isImbalanced(now)).isTrue();
        assertThat(mRate.isImbalanced(recordPicks(now, 60, 20))).isFalse();
    }
}
