package org.forkseam.standin;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Holds the faults of one stand-in; thread-safe, switched by call and never by chance. */
public final class Faults {
    private final AtomicInteger mLostAnswers = new AtomicInteger();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicLong mDelayMillis = new AtomicLong();
    private volatile boolean mDown;

    /** Makes every request fail without effect, or work again. */
    public void setDown(boolean down) {
        mDown = down;
    }

    /** Returns whether requests fail. */
    public boolean isDown() {
        return mDown;
    }

    /** Delays every answer. */
    public void setDelayMillis(long millis) {
        mDelayMillis.set(millis);
    }

    /** Returns the delay of answers. */
    public long delayMillis() {
        return mDelayMillis.get();
    }

    /** Makes the next so many writes take effect and their answers get lost. */
    public void loseAnswers(int count) {
        mLostAnswers.set(count);
    }

    /** Returns whether the answer at hand is to be lost. */
    boolean takeLostAnswer() {
        return mLostAnswers.getAndUpdate(n -> n > 0 ? n - 1 : 0) > 0;
    }

    /** Counts a request. */
    void onRequest() {
        mRequests.incrementAndGet();
    }

    /** Returns requests counted. */
    public int requests() {
        return mRequests.get();
    }
}
