package org.forkseam.core.member;

/**
 * Describes whether one incarnation of a target accepts new requests.
 *
 * <p>Each source of information sets its own field and changes no other. A row that lists the
 * target overrides neither a leaving announcement nor a hold-off. What the target announces in a
 * response holds for the lifetime of its incarnation, even if its row expires and is registered
 * again.
 *
 * <p>Immutable.
 *
 * @since 0.6
 */
public final class Availability {
    /** Availability of a target that is listed and accepts requests. */
    public static final Availability LISTED = new Availability(true, false, false, false, 0);

    private final boolean mListed;
    private final boolean mRowLeaving;
    private final boolean mLeavingAnnounced;
    private final boolean mReplaced;
    private final long mHoldOffUntil;

    /** Availability states of a target. */
    public enum State {
        /** Accepts new requests. */
        AVAILABLE,
        /** Asked this router to send no requests for a while. */
        HOLDING_OFF,
        /** Completes its current requests and then terminates. */
        LEAVING,
        /** Is no longer listed, or another target was found at its address. */
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
        mLeavingAnnounced = saysLeaving;
        mReplaced = replaced;
        mHoldOffUntil = holdOffUntil;
    }

    /** Returns a copy with the given listed flag. */
    public Availability withListed(boolean listed) {
        return new Availability(listed, mRowLeaving, mLeavingAnnounced, mReplaced, mHoldOffUntil);
    }

    /** Returns a copy with the leaving flag of the target's newest row. */
    public Availability withRowLeaving(boolean leaving) {
        return new Availability(mListed, leaving, mLeavingAnnounced, mReplaced, mHoldOffUntil);
    }

    /**
     * Returns a copy that retains the leaving flag of the current row, so that an older copy of the
     * row does not clear it.
     */
    public Availability withRowLeavingRetained() {
        return mRowLeaving ? withLeavingAnnounced() : this;
    }

    /** Returns a copy that records a leaving announcement. */
    public Availability withLeavingAnnounced() {
        return new Availability(mListed, mRowLeaving, true, mReplaced, mHoldOffUntil);
    }

    /** Returns a copy that records another target at the target's address. */
    public Availability withReplaced() {
        return new Availability(mListed, mRowLeaving, mLeavingAnnounced, true, mHoldOffUntil);
    }

    /**
     * Returns a copy with a hold-off until the given time. An earlier time than the current one is
     * ignored.
     */
    public Availability withHoldOffUntil(long millis) {
        long until = Math.max(mHoldOffUntil, millis);
        return new Availability(mListed, mRowLeaving, mLeavingAnnounced, mReplaced, until);
    }

    /** Returns the state at the given time. */
    public State state(long nowMillis) {
        if (!mListed || mReplaced) {
            return State.GONE;
        }
        if (isLeaving()) {
            return State.LEAVING;
        }
        return nowMillis < mHoldOffUntil ? State.HOLDING_OFF : State.AVAILABLE;
    }

    /**
     * Returns whether the target belongs to its pool, even if it accepts no requests at present.
     */
    public boolean isPoolMember() {
        return mListed && !mReplaced && !isLeaving();
    }

    /** Returns whether the target is leaving, by its row or its own announcement. */
    public boolean isLeaving() {
        return mRowLeaving || mLeavingAnnounced;
    }

    /** Returns whether the target announced that it is leaving. */
    public boolean isLeavingAnnounced() {
        return mLeavingAnnounced;
    }

    /** Returns whether another target was found at the target's address. */
    public boolean isReplaced() {
        return mReplaced;
    }

    /** Returns the end of the hold-off, or 0 if the target never requested one. */
    public long holdOffUntil() {
        return mHoldOffUntil;
    }
}
