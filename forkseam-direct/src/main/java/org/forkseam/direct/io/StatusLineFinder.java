package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;

/**
 * Finds the beginning of a status line ({@code HTTP/1.1 200}) in bytes that arrive in parts. Used
 * on the event loop.
 */
final class StatusLineFinder {
    private static final String PATTERN = "HTTP/1.# ###";
    private static final char DIGIT = '#';

    private int mMatched;

    /** Forgets a beginning that was found so far. */
    void reset() {
        mMatched = 0;
    }

    /** Returns whether a status line begins in the bytes, or began in the last ones. */
    boolean find(ByteBuf bytes, int from, int to) {
        for (int i = from; i < to; i++) {
            byte b = bytes.getByte(i);
            if (!matches(b, PATTERN.charAt(mMatched))) {
                mMatched = 0;
            }
            if (matches(b, PATTERN.charAt(mMatched)) && ++mMatched == PATTERN.length()) {
                mMatched = 0;
                return true;
            }
        }
        return false;
    }

    private static boolean matches(byte b, char expected) {
        return expected == DIGIT ? b >= '0' && b <= '9' : b == expected;
    }
}
