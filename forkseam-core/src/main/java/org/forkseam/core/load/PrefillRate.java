package org.forkseam.core.load;

import java.util.Arrays;

/**
 * Estimates the prefill rate of a pool's engines, in tokens per millisecond, from the times to the
 * first event of this router's answers.
 *
 * <p>The estimate is the upper decile of the recent samples. Waiting, slow engines and a lagging
 * router only make samples slower, so that the upper decile is close to the rate of an engine
 * without other work. The opposite error is dangerous: a prompt that was cached without the
 * router's knowledge looks as if it was read at many times the rate, and one such sample in ten
 * would make every prompt appear to be free.
 *
 * <p>Routers do not know for certain that an engine had to read a prompt's shared parts: of all
 * routers that see a prompt for the first time, only one causes the engine to read it, and answers
 * at a prompt's home are not announced to others. Therefore only the part that a prompt shares with
 * no other counts as read, and only if the engine is known to hold the shared parts or if there are
 * none. If the engine has evicted them meanwhile, the sample is slower.
 *
 * <p>Not thread-safe.
 *
 * @since 0.8
 */
public final class PrefillRate {
    /** Shorter prompts are dominated by the time from the prefill to the first event. */
    private static final long MIN_TOKENS = 1_000;

    /** Rate assumed before there are enough samples; engines of a common size. */
    private static final double DEFAULT_TOKENS_PER_MILLI = 40;

    /** Number of samples from which the estimate is used: a decile needs ten. */
    private static final int MIN_SAMPLES = 10;

    /** Number of recent samples kept: ten of them are above the decile. */
    private static final int MAX_SAMPLES = 100;

    private static final double QUANTILE = 0.9;

    private final double[] mSamples = new double[MAX_SAMPLES];
    private long mCount;
    private double mTokensPerMilli = DEFAULT_TOKENS_PER_MILLI;

    private PrefillRate() {}

    /** Creates an estimate without samples. */
    public static PrefillRate create() {
        return new PrefillRate();
    }

    /**
     * Records the time to the first event of an answer. Ignored if the prompt was short, or was
     * answered faster than it can be read at any rate.
     *
     * @param readTokens tokens that the engine certainly had to read
     * @param contextTokens length of the whole prompt in tokens
     * @param firstEventMillis time from sending the request to the first event
     */
    public void onFirstEvent(long readTokens, long contextTokens, long firstEventMillis) {
        if (readTokens < MIN_TOKENS) {
            return;
        }
        PromptWork.tokensPerMilli(readTokens, contextTokens, firstEventMillis).ifPresent(this::add);
    }

    private void add(double tokensPerMilli) {
        mSamples[(int) (mCount % MAX_SAMPLES)] = tokensPerMilli;
        mCount++;
        if (mCount >= MIN_SAMPLES) {
            mTokensPerMilli = upperDecile();
        }
    }

    private double upperDecile() {
        int n = (int) Math.min(mCount, MAX_SAMPLES);
        double[] sorted = Arrays.copyOf(mSamples, n);
        Arrays.sort(sorted);
        return sorted[(int) Math.ceil(QUANTILE * n) - 1];
    }

    /** Returns the estimated rate. */
    public double tokensPerMilli() {
        return mTokensPerMilli;
    }

    /** Returns the number of samples used since the start. */
    public long samples() {
        return mCount;
    }
}
