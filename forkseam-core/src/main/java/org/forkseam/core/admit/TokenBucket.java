package org.forkseam.core.admit;

/** Lets so many requests a second through, and a burst at once. Not thread-safe. */
public final class TokenBucket {
    private double mRate;
    private double mBurst;
    private double mTokens;
    private long mAtMillis;

    private TokenBucket(double rate, double burst, long nowMillis) {
        mRate = rate;
        mBurst = burst;
        mTokens = burst;
        mAtMillis = nowMillis;
    }

    /** Creates a full bucket. */
    public static TokenBucket of(double ratePerSecond, double burst, long nowMillis) {
        return new TokenBucket(ratePerSecond, burst, nowMillis);
    }

    /** Changes rate and burst and keeps the tokens that still fit. */
    public void set(double ratePerSecond, double burst, long nowMillis) {
        refill(nowMillis);
        mRate = ratePerSecond;
        mBurst = burst;
        mTokens = Math.min(mTokens, burst);
    }

    /** Takes one token, or returns false. */
    public boolean tryTake(long nowMillis) {
        refill(nowMillis);
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Returns milliseconds until the next token. */
    public long waitMillis(long nowMillis) {
        refill(nowMillis);
        return mTokens >= 1 || mRate <= 0 ? 0 : (long) Math.ceil((1 - mTokens) * 1000 / mRate);
    }

    private void refill(long nowMillis) {
        if (nowMillis > mAtMillis) {
            mTokens = Math.min(mBurst, mTokens + (nowMillis - mAtMillis) * mRate / 1000);
            mAtMillis = nowMillis;
        }
    }
}
