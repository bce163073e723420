package org.forkseam.direct.flow;

import java.util.OptionalLong;

/**
 * Recognizes streams whose ids count the events, as far as they were forwarded. Used on the event
 * loop.
 */
final class EventNumbering {
    private static final int MAX_DIGITS = 18;

    /** With fewer events, the ids may rise by one by chance. */
    private static final int MIN_EVENTS = 2;

    /**
     * Events after which all others have to be counted as well. More than for the first event of a
     * continuation: a gap within the response of one target may be the target's own.
     */
    private static final int ESTABLISHED_EVENTS = 8;

    private long mLast;
    private int mEvents;
    private boolean mOther;
    private boolean mFallen;

    /** Records the id of an event. */
    void onId(String id) {
        OptionalLong number = parse(id);
        if (number.isEmpty()) {
            mOther = true;
            return;
        }
        long n = number.getAsLong();
        mOther |= mEvents > 0 && n != mLast + 1;
        mFallen |= mEvents > 0 && n < mLast;
        mLast = n;
        mEvents++;
    }

    /** Returns whether a number was lower than one before, so that numbers do not order events. */
    boolean hasFallen() {
        return mFallen;
    }

    /** Records an event without id. */
    void onUnidentified() {
        mOther = true;
    }

    /** Returns the number of the next event if all events were counted; empty otherwise. */
    OptionalLong next() {
        return mOther || mEvents < MIN_EVENTS ? OptionalLong.empty() : OptionalLong.of(mLast + 1);
    }

    /** Returns whether the ids have counted so many events that a gap is no chance. */
    boolean isEstablished() {
        return !mOther && mEvents >= ESTABLISHED_EVENTS;
    }

    /** Parses an id; empty if it is no number of up to {@value #MAX_DIGITS} digits. */
    static OptionalLong parse(String id) {
        boolean isNumber =
                !id.isEmpty()
                        && id.length() <= MAX_DIGITS
                        && id.chars().allMatch(c -> c >= '0' && c <= '9');
        return isNumber ? OptionalLong.of(Long.parseLong(id)) : OptionalLong.empty();
    }
}
