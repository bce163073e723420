package org.forkseam.standin;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Deterministic fault injection of one test double. Thread-safe. */
public final class FaultInjection {
    private final AtomicInteger mLostResponses = new AtomicInteger();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicLong mDelayMillis = new AtomicLong();
    private volatile boolean mDown;

    /** Sets whether every request fails without effect. */
    public void setDown(boolean down) {
        mDown = down;
    }

    /** Returns whether requests fail. */
    public boolean isDown() {
        return mDown;
    }

    /** Delays every response. */
    public void setDelayMillis(long millis) {
        mDelayMillis.set(millis);
    }

    /** Returns the delay of responses. */
    public long delayMillis() {
        return mDelayMillis.get();
    }

    /** Drops the responses of the next {@code count} writes, which still take effect. */
    public void loseResponses(int count) {
        mLostResponses.set(count);
    }

    /** Returns whether to drop the current response, using up one drop. */
    boolean consumeLostResponse() {
        return mLostResponses.getAndUpdate(n -> n > 0 ? n - 1 : 0) > 0;
    }

    void countRequest() {
        mRequests.incrementAndGet();
    }

    /** Returns the number of requests received. */
    public int requests() {
        return mRequests.get();
    }
}
