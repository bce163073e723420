package org.forkseam.core.admit;

/**
 * Adapts the admitted share at the end of fixed windows: less by a fifth if over 1 in 10 of a
 * window's requests were late or refused, otherwise 0.05 more. The alternative to {@link
 * PressureShare} that it is measured against.
 */
final class WindowShare implements ShareController {
    private static final long WINDOW_MILLIS = 250;

    private double mShare = 1;
    private long mWindowEnd;
    private int mResults;
    private int mLate;

    WindowShare(long now) {
        mWindowEnd = now + WINDOW_MILLIS;
    }

    @Override
    public void onArrived(long now) {
        closeWindow(now);
    }

    @Override
    public void onResult(double pressure, boolean answered, long now) {
        closeWindow(now);
        mResults++;
        mLate += pressure >= 1 ? 1 : 0;
    }

    @Override
    public double share(long now) {
        closeWindow(now);
        return mShare;
    }

    private void closeWindow(long now) {
        while (now >= mWindowEnd) {
            boolean overloaded = mLate > 0.1 * mResults;
            mShare = overloaded ? Math.max(0.1, mShare * 0.8) : Math.min(1, mShare + 0.05);
            mResults = 0;
            mLate = 0;
            mWindowEnd += WINDOW_MILLIS;
        }
    }
}
