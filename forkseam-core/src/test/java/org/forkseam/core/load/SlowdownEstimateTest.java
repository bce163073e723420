package org.forkseam.core.load;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Tests the slowdown estimate, and that it is more accurate than an exponential average. */
class SlowdownEstimateTest {
    private final SlowdownEstimate mEstimate = SlowdownEstimate.create();

    @Test
    void unknownSlowdownIsUsualSpeed() {
        assertThat(mEstimate.factor(0)).isEqualTo(1.0);
        assertThat(mEstimate.factor(1_000_000)).isEqualTo(1.0);
    }

    @Test
    void newestReadingCounts() {
        mEstimate.onReported(250, 1_000);
        mEstimate.onReported(77, 1_001);
        assertThat(mEstimate.factor(1_100)).isEqualTo(0.77);
    }

    /** Guards against readings of other routers that arrive after a newer one. */
    @Test
    void olderReadingIsIgnored() {
        mEstimate.onReported(250, 1_000);
        mEstimate.onReported(100, 999);
        assertThat(mEstimate.factor(1_100)).isEqualTo(2.5);
    }

    /** Guards against avoiding a target that was slow when it last answered. */
    @Test
    void oldReadingExpires() {
        mEstimate.onReported(250, 1_000);
        assertThat(mEstimate.factor(1_599)).isEqualTo(2.5);
        assertThat(mEstimate.factor(1_600)).isEqualTo(1.0);
    }

    // ---------------------------------------------------------------- comparison

    private static final int TARGETS = 29;
    private static final double SLOW_SHARE = 0.15;
    private static final int SLOW_PERCENT = 250;
    private static final int USUAL_PERCENT = 100;
    private static final long CHANGE_MILLIS = 600;
    private static final long STEP_MILLIS = 5;
    private static final long RUN_MILLIS = 120_000;

    /** An estimator in the comparison. */
    private interface Estimator {
        void onReported(int percent, long at);

        double factor(long now);
    }

    private static Estimator newest() {
        SlowdownEstimate estimate = SlowdownEstimate.create();
        return new Estimator() {
            @Override
            public void onReported(int percent, long at) {
                estimate.onReported(percent, at);
            }

            @Override
            public double factor(long now) {
                return estimate.factor(now);
            }
        };
    }

    /** Average of the readings whose weights decay exponentially with their age. */
    private static final class Average implements Estimator {
        private final double mDecayMillis;
        private double mValue = 1;
        private long mAt = -CHANGE_MILLIS;

        Average(double decayMillis) {
            mDecayMillis = decayMillis;
        }

        @Override
        public void onReported(int percent, long at) {
            double weight = 1 - Math.exp((mAt - at) / mDecayMillis);
            mValue += weight * (percent / 100.0 - mValue);
            mAt = at;
        }

        @Override
        public double factor(long now) {
            return mValue;
        }
    }

    /**
     * Mean absolute errors of an estimator.
     *
     * @param afterChange in the 300 ms after each change
     * @param overall at all times
     */
    private record Errors(double afterChange, double overall) {}

    /** Simulates one target; returns the sums of the errors after changes and of the others. */
    private static double[] simulate(Estimator estimator, int noisePercent, SplittableRandom r) {
        double[] sums = new double[2];
        int actual = USUAL_PERCENT;
        long nextReading = r.nextLong(300);
        for (long now = 0; now < RUN_MILLIS; now += STEP_MILLIS) {
            if (now % CHANGE_MILLIS == 0) {
                actual = r.nextDouble() < SLOW_SHARE ? SLOW_PERCENT : USUAL_PERCENT;
            }
            if (now >= nextReading) {
                int noise = noisePercent == 0 ? 0 : r.nextInt(-noisePercent, noisePercent + 1);
                estimator.onReported(actual + actual * noise / 100, now);
                nextReading = now + r.nextLong(100, 301);
            }
            double error = Math.abs(estimator.factor(now) - actual / 100.0);
            sums[now % CHANGE_MILLIS < 300 ? 0 : 1] += error;
        }
        return sums;
    }

    private static Errors errors(List<Estimator> perTarget, int noisePercent) {
        SplittableRandom random = new SplittableRandom(7);
        double early = 0;
        double late = 0;
        for (Estimator e : perTarget) {
            double[] sums = simulate(e, noisePercent, random.split());
            early += sums[0];
            late += sums[1];
        }
        double steps = (double) perTarget.size() * RUN_MILLIS / STEP_MILLIS;
        return new Errors(early / (steps / 2), (early + late) / steps);
    }

    private static Errors newestErrors(int noisePercent) {
        List<Estimator> estimators = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            estimators.add(newest());
        }
        return errors(estimators, noisePercent);
    }

    private static Errors averageErrors(double decayMillis, int noisePercent) {
        List<Estimator> estimators = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            estimators.add(new Average(decayMillis));
        }
        return errors(estimators, noisePercent);
    }

    /**
     * Guards the choice of the estimator: readings are exact, so that averaging only adds delay.
     */
    @Test
    void newestReadingIsMoreAccurateThanAnAverage() {
        Errors newest = newestErrors(0);
        for (double decayMillis : new double[] {50, 100, 200, 400}) {
            Errors average = averageErrors(decayMillis, 0);
            assertThat(newest.afterChange()).isLessThan(average.afterChange());
            assertThat(newest.overall()).isLessThan(average.overall());
        }
    }

    /** Guards the choice also for readings that vary by up to 10 percent. */
    @Test
    void newestReadingIsMoreAccurateWithSomeNoise() {
        Errors newest = newestErrors(10);
        for (double decayMillis : new double[] {100, 200, 400}) {
            Errors average = averageErrors(decayMillis, 10);
            assertThat(newest.afterChange()).isLessThan(average.afterChange());
            assertThat(newest.overall()).isLessThan(average.overall());
        }
    }

    /**
     * Guards against slowness that is followed late. If each move were followed evenly within 300
     * ms, the errors would be 0.19 and 0.096.
     */
    @Test
    void errorIsSmall() {
        Errors newest = newestErrors(0);
        assertThat(newest.afterChange()).isLessThan(0.15);
        assertThat(newest.overall()).isLessThan(0.08);
    }
}
