package org.forkseam.core.load;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;

import org.junit.jupiter.api.Test;

import java.util.SplittableRandom;

/** Tests the estimated prefill rate of a pool and its relation to the work of a prompt. */
class PrefillRateTest {
    private static final double ACTUAL = 38.7;
    private static final double DEFAULT = 40;

    private final PrefillRate mRate = PrefillRate.create();
    private final SplittableRandom mRandom = new SplittableRandom(11);

    /** Records a prompt that was read at the actual rate after some waiting. */
    private void answer(long readTokens, long contextTokens, double waitedMillis) {
        double work = PromptWork.millis(readTokens, contextTokens, ACTUAL);
        mRate.onFirstEvent(readTokens, contextTokens, Math.round(work + waitedMillis));
    }

    @Test
    void defaultAppliesBeforeTheFirstSamples() {
        assertThat(mRate.tokensPerMilli()).isEqualTo(DEFAULT);
    }

    /** A single sample may have waited for seconds, which would make all prompts look expensive. */
    @Test
    void fewSamplesAreNotUsed() {
        for (int i = 0; i < 9; i++) {
            answer(2_000, 2_000, 1_000);
        }
        assertThat(mRate.tokensPerMilli()).isEqualTo(DEFAULT);
        answer(2_000, 2_000, 1_000);
        assertThat(mRate.tokensPerMilli()).isLessThan(3);
    }

    /** Guards against counting waiting as reading: here, 4 of 5 answers wait up to 400 ms. */
    @Test
    void waitingDoesNotReduceTheRate() {
        for (int i = 0; i < 300; i++) {
            double waited = mRandom.nextDouble() < 0.8 ? 400 * mRandom.nextDouble() : 0;
            answer(mRandom.nextLong(1_000, 9_000), 9_000, waited);
        }
        assertThat(mRate.tokensPerMilli()).isWithin(2).of(ACTUAL);
    }

    /** Guards against a few engines that are slow at any time, as 15% at 2.5 times as long. */
    @Test
    void slowEnginesDoNotReduceTheRate() {
        for (int i = 0; i < 300; i++) {
            double work = PromptWork.millis(4_000, 4_000, ACTUAL);
            double factor = mRandom.nextDouble() < 0.15 ? 2.5 : 1;
            mRate.onFirstEvent(4_000, 4_000, Math.round(work * factor));
        }
        assertThat(mRate.tokensPerMilli()).isWithin(1).of(ACTUAL);
    }

    /** Guards against an occasional prompt that was cached after all. */
    @Test
    void fewCachedPromptsDoNotRaiseTheRate() {
        for (int i = 0; i < 300; i++) {
            if (i % 20 == 0) {
                mRate.onFirstEvent(4_000, 4_000, 45);
            } else {
                answer(4_000, 4_000, 0);
            }
        }
        assertThat(mRate.tokensPerMilli()).isWithin(1).of(ACTUAL);
    }

    @Test
    void shortPromptsAreIgnored() {
        for (int i = 0; i < 100; i++) {
            mRate.onFirstEvent(999, 9_000, 200);
        }
        assertThat(mRate.samples()).isEqualTo(0);
        assertThat(mRate.tokensPerMilli()).isEqualTo(DEFAULT);
    }

    /** Guards against a division by zero or a negative rate, e.g. for an error sent as an event. */
    @Test
    void answersFasterThanAnyPrefillAreIgnored() {
        for (int i = 0; i < 100; i++) {
            mRate.onFirstEvent(8_000, 8_000, 2);
            mRate.onFirstEvent(8_000, 8_000, 25);
        }
        assertThat(mRate.samples()).isEqualTo(0);
    }

    /** An estimate must not keep the rate of software or hardware that was replaced. */
    @Test
    void oldSamplesAreReplaced() {
        for (int i = 0; i < 200; i++) {
            mRate.onFirstEvent(8_000, 8_000, 80);
        }
        for (int i = 0; i < 100; i++) {
            answer(8_000, 8_000, 0);
        }
        assertThat(mRate.tokensPerMilli()).isWithin(1).of(ACTUAL);
    }

    @Property
    void rateIsTheInverseOfWork(
            @ForAll @LongRange(min = 1, max = 100_000) long uncached,
            @ForAll @LongRange(min = 0, max = 100_000) long cached,
            @ForAll @DoubleRange(min = 1, max = 500) double rate) {
        double millis = PromptWork.millis(uncached, uncached + cached, rate);
        double inverse =
                PromptWork.tokensPerMilli(uncached, uncached + cached, millis).orElseThrow();
        assertThat(inverse).isWithin(rate * 1e-3).of(rate);
    }
}
