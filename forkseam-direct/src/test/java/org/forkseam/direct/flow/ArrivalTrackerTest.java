package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests what is believed of the time at which requests came. */
class ArrivalTrackerTest {
    private long mNow = 1_000;
    private final ArrivalTracker mArrivals = new ArrivalTracker(() -> mNow, 1_000);

    @Test
    void aRouterThatKeepsUpTakesWhatItReadsForNew() {
        mNow += 50;
        Arrival a = mArrivals.next();
        assertThat(a.millis()).isEqualTo(1_050);
        assertThat(a.wasDelayed()).isFalse();
    }

    @Test
    void whatWaitedForAStartIsSpreadOverTheTimeSinceCallersCouldConnect() {
        mNow += 800;
        Arrival first = mArrivals.next();
        Arrival second = mArrivals.next();
        assertThat(first.wasDelayed()).isTrue();
        assertThat(first.millis()).isEqualTo(1_200);
        assertThat(second.millis()).isEqualTo(1_600);
    }

    @Test
    void aTurnThatReadEverythingEndsTheGap() {
        mNow += 800;
        mArrivals.next();
        mArrivals.onReadsDrained();
        mNow += 10;
        assertThat(mArrivals.next().wasDelayed()).isFalse();
    }

    /** Whatever the gap: arrivals lie within it, in the order of reading. */
    @Property(seed = "4721")
    void arrivalsLieWithinTheGapInOrder(
            @ForAll @IntRange(min = 101, max = 60_000) int gap,
            @ForAll @IntRange(min = 1, max = 300) int count) {
        long[] now = {0};
        ArrivalTracker arrivals = new ArrivalTracker(() -> now[0], 0);
        now[0] = gap;
        List<Arrival> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(arrivals.next());
        }
        long before = 0;
        for (Arrival a : all) {
            assertThat(a.millis()).isAtLeast(before);
            assertThat(a.millis()).isAtMost((long) gap);
            before = a.millis();
        }
    }
}
