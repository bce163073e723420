package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.OptionalInt;

/** Tests the encoding of load readings in 8 bytes: its rounding, and that extremes are clamped. */
class LoadReadingTest {
    private static final int MAX_LOAD = 2_047;
    private static final int MAX_WAITING = 255;
    private static final int MIN_SLOWDOWN = 25;
    private static final int MAX_SLOWDOWN = 1_838;
    private static final int MAX_AGE = 1_016;

    private static LoadReading roundTrip(LoadReading r) {
        return LoadReading.ofBits(r.toBits());
    }

    private static LoadReading roundTrip(int load, int waiting, int slowdown, int age) {
        return roundTrip(new LoadReading(-5, load, waiting, OptionalInt.of(slowdown), age));
    }

    @Property
    void valuesInRangeAreKept(
            @ForAll int target,
            @ForAll @IntRange(max = MAX_LOAD) int load,
            @ForAll @IntRange(max = MAX_WAITING) int waiting,
            @ForAll @IntRange(min = MIN_SLOWDOWN, max = MAX_SLOWDOWN) int slowdown,
            @ForAll @IntRange(max = MAX_AGE) int age) {
        LoadReading r =
                roundTrip(new LoadReading(target, load, waiting, OptionalInt.of(slowdown), age));
        assertThat(r.target()).isEqualTo(target);
        assertThat(r.load()).isEqualTo(load);
        assertThat(r.waiting()).isEqualTo(waiting);
        int decoded = r.slowdownPercent().orElseThrow();
        // half a step of a tenth of a doubling, and half a percent for whole numbers
        assertThat(Math.abs(decoded - slowdown)).isAtMost((int) Math.ceil(slowdown * 0.036 + 0.5));
        assertThat(r.ageMillis()).isIn(Range.closed(age, age + 7));
    }

    /** Guards against a slowdown that drifts while routers relay it. */
    @Property
    void decodedReadingRoundTripsExactly(@ForAll long bits) {
        LoadReading r = LoadReading.ofBits(bits);
        assertThat(r.toBits()).isEqualTo(bits);
        assertThat(roundTrip(r)).isEqualTo(r);
    }

    /** Guards against values of one field that overflow into another. */
    @Property
    void extremeValuesAreClamped(
            @ForAll int target,
            @ForAll int load,
            @ForAll int waiting,
            @ForAll @IntRange(min = 1, max = 10_000) int slowdown,
            @ForAll int age) {
        LoadReading r =
                roundTrip(new LoadReading(target, load, waiting, OptionalInt.of(slowdown), age));
        assertThat(r.target()).isEqualTo(target);
        assertThat(r.load()).isEqualTo(Math.max(0, Math.min(MAX_LOAD, load)));
        assertThat(r.waiting()).isEqualTo(Math.max(0, Math.min(MAX_WAITING, waiting)));
        assertThat(r.slowdownPercent().orElseThrow()).isAtLeast(MIN_SLOWDOWN);
        assertThat(r.slowdownPercent().orElseThrow()).isAtMost(MAX_SLOWDOWN);
        assertThat(r.ageMillis()).isAtLeast(Math.max(0, Math.min(MAX_AGE, age)));
        assertThat(r.ageMillis()).isAtMost(MAX_AGE);
    }

    @Test
    void extremesAreClamped() {
        LoadReading high = roundTrip(1_000_000, 1_000_000, 10_000, Integer.MAX_VALUE);
        assertThat(high)
                .isEqualTo(
                        new LoadReading(
                                -5, MAX_LOAD, MAX_WAITING, OptionalInt.of(MAX_SLOWDOWN), MAX_AGE));
        LoadReading low = roundTrip(-1, -1, 1, Integer.MIN_VALUE);
        assertThat(low).isEqualTo(new LoadReading(-5, 0, 0, OptionalInt.of(MIN_SLOWDOWN), 0));
    }

    /** Usual speed must not appear as a slowdown, nor 2.5 times as long as usual speed. */
    @Test
    void importantSlowdownsAreAccurate() {
        assertThat(roundTrip(0, 0, 100, 0).slowdownPercent().orElseThrow()).isEqualTo(100);
        assertThat(roundTrip(0, 0, 250, 0).slowdownPercent().orElseThrow()).isEqualTo(246);
        assertThat(roundTrip(0, 0, 77, 0).slowdownPercent().orElseThrow()).isEqualTo(76);
    }

    @Test
    void unknownSlowdownStaysUnknown() {
        LoadReading r = new LoadReading(9, 3, 1, OptionalInt.empty(), 8);
        assertThat(roundTrip(r)).isEqualTo(r);
    }

    /** Guards against a negative number of running requests from a malformed message. */
    @Test
    void reportHasNoNegativeValues() {
        LoadReading r = new LoadReading(9, 3, 5, OptionalInt.empty(), 8);
        assertThat(r.report().running()).isEqualTo(0);
        assertThat(r.report().waiting()).isEqualTo(5);
    }
}
