package org.forkseam.core.admit;

/** Token bucket rate limiter. Not thread-safe. */
public final class TokenBucket {
    private double mRate;
    private double mBurst;
    private double mTokens;
    private long mRefilledAtMillis;

    private TokenBucket(double rate, double burst, long nowMillis) {
        mRate = rate;
        mBurst = burst;
        mTokens = burst;
        mRefilledAtMillis = nowMillis;
    }

    /** Creates a full bucket. */
    public static TokenBucket of(double ratePerSecond, double burst, long nowMillis) {
        return new TokenBucket(ratePerSecond, burst, nowMillis);
    }

    /** Changes rate and burst; keeps the available tokens up to the new burst. */
    public void reconfigure(double ratePerSecond, double burst, long nowMillis) {
        refill(nowMillis);
        mRate = ratePerSecond;
        mBurst = burst;
        mTokens = Math.min(mTokens, burst);
    }

    /** Takes one token, or returns false if none is available. */
    public boolean tryTake(long nowMillis) {
        refill(nowMillis);
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Returns the time until the next token is available, in milliseconds. */
    public long waitMillis(long nowMillis) {
        refill(nowMillis);
        return mTokens >= 1 || mRate <= 0 ? 0 : (long) Math.ceil((1 - mTokens) * 1000 / mRate);
    }

    private void refill(long nowMillis) {
        if (nowMillis > mRefilledAtMillis) {
            mTokens = Math.min(mBurst, mTokens + (nowMillis - mRefilledAtMillis) * mRate / 1000);
            mRefilledAtMillis = nowMillis;
        }
    }
}
