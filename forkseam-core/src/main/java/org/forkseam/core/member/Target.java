package org.forkseam.core.member;

import org.forkseam.core.util.Hashes;

/**
 * Holds what one router believes of one target: its entry, its load and its health. Used on one
 * thread.
 *
 * @since 0.2
 */
public final class Target {
    /** A reading of the target's whole load says little after so long. Origin: measured rounds. */
    private static final long READING_VALID_MILLIS = 1_500;

    /** A target with work of ours that sends nothing for so long is taken to be stuck. */
    private static final long SILENT_MILLIS = 900;

    /** A target that refused a request is passed over for so long: about one answer's time. */
    private static final long FULL_MILLIS = 80;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long mHash;
    private final TargetStart mStart;
    private final int mShortHash;
    private final TargetHealth mHealth = new TargetHealth();
    private final ErrorRate mErrors = new ErrorRate();
    private TargetEntry mEntry;
    private int mInFlight;
    private int mOthers;
    private int mLoadTold;
    private long mReadAt = NEVER;
    private long mHeardAt;
    private long mBusySince;
    private long mFullUntil;
    private Availability mAvailability;
    private boolean mEvacuated;
    private long mReturnedAt = NEVER;
    private long mColdUntil = NEVER;

    private Target(TargetEntry entry) {
        mEntry = entry;
        mAvailability = Availability.LISTED.withRowLeaving(entry.leaving());
        mHash = Hashes.of(entry.id());
        mStart = entry.start();
        mShortHash = mStart.shortHash();
    }

    /** Creates the state of a target that was not known before. */
    public static Target of(TargetEntry entry) {
        return new Target(entry);
    }

    /** Creates the state of a target that was not known before, and may be cold from now on. */
    public static Target of(TargetEntry entry, long nowMillis) {
        Target t = of(entry);
        t.noteCold(nowMillis);
        return t;
    }

    // ---------------------------------------------------------------- what it is

    /** Returns its newest entry. */
    public TargetEntry entry() {
        return mEntry;
    }

    /** Returns which start of the target this is the state of. */
    public TargetStart start() {
        return mStart;
    }

    /** Takes a newer entry of the same start of the target. */
    public void update(TargetEntry entry, long nowMillis) {
        boolean wasCold = mEntry.coldMillis() > 0;
        boolean longer = entry.coldMillis() > mEntry.coldMillis();
        boolean ended = wasCold && entry.coldMillis() == 0;
        mEntry = entry;
        mAvailability = mAvailability.withRowLeaving(entry.leaving());
        if (longer || ended) {
            noteCold(nowMillis);
        }
    }

    /** Counts from now on, not from the target's word: it may have been late, never early. */
    private void noteCold(long nowMillis) {
        mColdUntil = mEntry.coldMillis() > 0 ? nowMillis + mEntry.coldMillis() : NEVER;
    }

    /** Takes in that rows may come back as they were some time ago. */
    void onStoreReturned() {
        mAvailability = mAvailability.withRowWordKept();
    }

    /** Takes in that the newest list does not hold it: it gets no new work. */
    void onUnlisted() {
        mAvailability = mAvailability.withListed(false);
    }

    /** Takes in that a list holds it again, as the same start. */
    void onListedAgain(TargetEntry entry, long nowMillis) {
        update(entry, nowMillis);
        noteCold(nowMillis);
        mAvailability = mAvailability.withListed(true);
    }

    /** Notes that it says that it leaves; returns whether that was not known. */
    public boolean onSaysLeaving() {
        boolean news = !mAvailability.saysLeaving();
        mAvailability = mAvailability.withSaysLeaving();
        return news;
    }

    /** Notes that another target lives at its address; returns whether that was not known. */
    public boolean onReplaced() {
        boolean news = !mAvailability.isReplaced();
        mAvailability = mAvailability.withReplaced();
        return news;
    }

    /** Notes that it wants nothing more for a while; returns whether it wanted work until now. */
    public boolean onHoldOff(long millis, long nowMillis) {
        Availability.State before = mAvailability.state(nowMillis);
        mAvailability = mAvailability.withHoldOffUntil(nowMillis + millis);
        return mAvailability.state(nowMillis) != before;
    }

    /** Notes whether operators have asked to send nothing to its failure domain. */
    public void setEvacuated(boolean evacuated, long nowMillis) {
        if (mEvacuated && !evacuated) {
            mReturnedAt = nowMillis;
        }
        mEvacuated = evacuated;
    }

    /** Returns whether operators have asked to send nothing to its failure domain. */
    public boolean isEvacuated() {
        return mEvacuated;
    }

    /** Returns whether it wants new work, by what it and the list say. */
    public Availability availability() {
        return mAvailability;
    }

    /** Returns whether it stays in its pool as far as it and the list say. */
    public boolean stays() {
        return mAvailability.stays();
    }

    /** Returns whether it may get new work: it wants some, and its domain is not evacuated. */
    public boolean takesWork(long nowMillis) {
        return !mEvacuated && mAvailability.state(nowMillis) == Availability.State.AVAILABLE;
    }

    /** Returns whether it stays, and may not get new work for now. */
    public boolean rests(long nowMillis) {
        return stays() && !takesWork(nowMillis);
    }

    /** Returns the hash of its id. */
    public long hash() {
        return mHash;
    }

    /** Returns by which name routers tell each other of it: another for each start. */
    public int shortHash() {
        return mShortHash;
    }

    /**
     * Returns whether it may be cold: by its own word, or since its failure domain has come back
     * from an evacuation so short a while ago that its word may still be under way.
     *
     * @param coldMillis for how long targets of its pool stay cold
     */
    public boolean isCold(long coldMillis, long nowMillis) {
        return nowMillis < mColdUntil || nowMillis - mReturnedAt < coldMillis;
    }

    // ---------------------------------------------------------------- load

    /** Notes a request sent to it by this router. */
    public void onSent(long nowMillis) {
        if (mInFlight == 0) {
            mBusySince = nowMillis;
        }
        mInFlight++;
    }

    /** Notes the end of a request sent by this router. */
    public void onEnded() {
        mInFlight--;
    }

    /** Notes that the target sent something. */
    public void onHeard(long nowMillis) {
        mHeardAt = nowMillis;
    }

    /** Returns whether the target has sent this router something lately. */
    public boolean heardWithin(long millis, long nowMillis) {
        return mHeardAt != 0 && nowMillis - mHeardAt < millis;
    }

    /** Notes the whole load that the target told, requests running and waiting. */
    public void onLoad(int load, long nowMillis) {
        mLoadTold = load;
        mOthers = Math.max(0, load - mInFlight);
        mReadAt = nowMillis;
    }

    /** Notes the whole load that the target told another router, unless a newer one is known. */
    public void onLoadHeard(int load, long readAtMillis) {
        if (readAtMillis > mReadAt) {
            onLoad(load, readAtMillis);
        }
    }

    /** Returns the whole load that the target told last, to whatever router. */
    public int loadTold() {
        return mLoadTold;
    }

    /** Notes that it refused a request since it was full. */
    public void onRefused(long nowMillis) {
        mFullUntil = nowMillis + FULL_MILLIS;
    }

    /** Returns whether it refused a request a moment ago. */
    public boolean isFull(long nowMillis) {
        return nowMillis < mFullUntil;
    }

    /** Returns the requests of this router that it holds. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the requests it holds from other routers, as far as a recent reading tells. */
    public int othersInFlight(long nowMillis) {
        return nowMillis - mReadAt > READING_VALID_MILLIS ? 0 : mOthers;
    }

    /** Returns the age of the last load reading in milliseconds, or -1 if there was none. */
    public long readingAgeMillis(long nowMillis) {
        return mReadAt == NEVER ? -1 : nowMillis - mReadAt;
    }

    // ---------------------------------------------------------------- health

    /** Returns its health. */
    public TargetHealth health() {
        return mHealth;
    }

    /** Returns the share of its requests that fail. */
    public ErrorRate errors() {
        return mErrors;
    }

    /** Returns whether it holds work of this router and has sent nothing for long. */
    public boolean isSilent(long nowMillis) {
        return silentMillis(nowMillis) > SILENT_MILLIS;
    }

    /** Returns for how long it has held work of this router and sent nothing. */
    public long silentMillis(long nowMillis) {
        return mInFlight == 0 ? 0 : nowMillis - Math.max(mHeardAt, mBusySince);
    }
}
