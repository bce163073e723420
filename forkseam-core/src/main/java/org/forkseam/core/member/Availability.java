package org.forkseam.core.member;

/**
 * Says whether one start of a target wants new work, by all that is known of it.
 *
 * <p>Each way of knowing has its own field, and changes no other: a row that says that the target
 * is there undoes neither its word in an answer that it leaves nor the time for which it wants
 * nothing. What a target has said in an answer holds for as long as this start of it lasts; a row
 * that lapses and comes back changes nothing of that. In a fleet of five routers 29 requests were
 * sent in seven seconds to a target that had said that it leaves, while its row could not change.
 *
 * <p>Immutable.
 *
 * @since 0.6
 */
public final class Availability {
    /** Is what is known of a target that is listed as there to be used. */
    public static final Availability LISTED = new Availability(true, false, false, false, 0);

    private final boolean mListed;
    private final boolean mRowLeaving;
    private final boolean mSaysLeaving;
    private final boolean mReplaced;
    private final long mHoldOffUntil;

    /** Says whether a target wants new work. */
    public enum State {
        /** It does. */
        AVAILABLE,
        /** It has asked this router for a while without further requests. */
        HOLDING_OFF,
        /** It serves what it has and is about to end. */
        LEAVING,
        /** It is not there any more, as far as the list or its address tell. */
        GONE
    }

    private Availability(
            boolean listed,
            boolean rowLeaving,
            boolean saysLeaving,
            boolean replaced,
            long holdOffUntil) {
        mListed = listed;
        mRowLeaving = rowLeaving;
        mSaysLeaving = saysLeaving;
        mReplaced = replaced;
        mHoldOffUntil = holdOffUntil;
    }

    /** Returns the same with whether the newest list holds the target. */
    public Availability withListed(boolean listed) {
        return new Availability(listed, mRowLeaving, mSaysLeaving, mReplaced, mHoldOffUntil);
    }

    /** Returns the same with whether the target's newest row says that it leaves. */
    public Availability withRowLeaving(boolean leaving) {
        return new Availability(mListed, leaving, mSaysLeaving, mReplaced, mHoldOffUntil);
    }

    /**
     * Returns the same with the row's word that the target leaves kept as its own: an older copy of
     * the row does not take it back.
     */
    public Availability withRowWordKept() {
        return mRowLeaving ? withSaysLeaving() : this;
    }

    /** Returns the same with an answer's word that the target leaves. */
    public Availability withSaysLeaving() {
        return new Availability(mListed, mRowLeaving, true, mReplaced, mHoldOffUntil);
    }

    /** Returns the same with another target found at the target's address. */
    public Availability withReplaced() {
        return new Availability(mListed, mRowLeaving, mSaysLeaving, true, mHoldOffUntil);
    }

    /**
     * Returns the same with a moment before which the target wants nothing more; an earlier one
     * than it has asked for before changes nothing.
     */
    public Availability withHoldOffUntil(long millis) {
        long until = Math.max(mHoldOffUntil, millis);
        return new Availability(mListed, mRowLeaving, mSaysLeaving, mReplaced, until);
    }

    /** Returns whether the target wants new work. */
    public State state(long nowMillis) {
        if (!mListed || mReplaced) {
            return State.GONE;
        }
        if (isLeaving()) {
            return State.LEAVING;
        }
        return nowMillis < mHoldOffUntil ? State.HOLDING_OFF : State.AVAILABLE;
    }

    /** Returns whether the target stays in its pool, whether or not it wants work just now. */
    public boolean stays() {
        return mListed && !mReplaced && !isLeaving();
    }

    /** Returns whether the target has said that it leaves, by whatever way. */
    public boolean isLeaving() {
        return mRowLeaving || mSaysLeaving;
    }

    /** Returns whether an answer of the target has said that it leaves. */
    public boolean saysLeaving() {
        return mSaysLeaving;
    }

    /** Returns whether another target was found at the target's address. */
    public boolean isReplaced() {
        return mReplaced;
    }

    /** Returns the moment before which the target wants nothing more; 0 if it never asked. */
    public long holdOffUntil() {
        return mHoldOffUntil;
    }
}
