package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests the estimation of arrival times after event loop stalls. */
class ArrivalTrackerTest {
    private long mNow = 1_000;
    private final ArrivalTracker mTracker = new ArrivalTracker(() -> mNow, 1_000);

    @Test
    void arrivalWithoutStallIsNow() {
        mNow += 50;
        Arrival a = mTracker.next();
        assertThat(a.millis()).isEqualTo(1_050);
        assertThat(a.wasDelayed()).isFalse();
    }

    @Test
    void arrivalsDuringStartAreSpreadEvenly() {
        mNow += 800;
        Arrival first = mTracker.next();
        Arrival second = mTracker.next();
        assertThat(first.wasDelayed()).isTrue();
        assertThat(first.millis()).isEqualTo(1_200);
        assertThat(second.millis()).isEqualTo(1_600);
    }

    @Test
    void stallEndsWhenReadsAreDrained() {
        mNow += 800;
        mTracker.next();
        mTracker.onReadsDrained();
        mNow += 10;
        assertThat(mTracker.next().wasDelayed()).isFalse();
    }

    /** Estimated arrival times lie within the stall and keep the read order. */
    @Property(seed = "4721")
    void arrivalsLieWithinTheStallInOrder(
            @ForAll @IntRange(min = 101, max = 60_000) int stallMillis,
            @ForAll @IntRange(min = 1, max = 300) int count) {
        long[] now = {0};
        ArrivalTracker tracker = new ArrivalTracker(() -> now[0], 0);
        now[0] = stallMillis;
        List<Arrival> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(tracker.next());
        }
        long before = 0;
        for (Arrival a : all) {
            assertThat(a.millis()).isAtLeast(before);
            assertThat(a.millis()).isAtMost((long) stallMillis);
            before = a.millis();
        }
    }
}
