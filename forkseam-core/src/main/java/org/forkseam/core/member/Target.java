package org.forkseam.core.member;

import org.forkseam.core.load.ReportedLoad;
import org.forkseam.core.load.SlowdownEstimate;
import org.forkseam.core.util.Hashes;

/**
 * State of a target as seen by one router: its registration, availability, load and health. Not
 * thread-safe.
 *
 * @since 0.2
 */
public final class Target {
    /** Age after which a load report is ignored. */
    private static final long LOAD_REPORT_TTL_MILLIS = 1_500;

    /** Time without data after which a target with requests in flight is considered stuck. */
    private static final long SILENCE_TIMEOUT_MILLIS = 900;

    /** Time for which a target that refused a request is skipped; about one response time. */
    private static final long FULL_BACKOFF_MILLIS = 80;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long mHash;
    private final TargetIncarnation mIncarnation;
    private final int mShortHash;
    private final TargetHealth mHealth = new TargetHealth();
    private final ErrorRate mErrors = new ErrorRate();
    private TargetEntry mEntry;
    private long mSoftwareKey;
    private int mInFlight;
    private int mPaused;
    private int mOthersInFlight;
    private final SlowdownEstimate mSlowdown = SlowdownEstimate.create();
    private ReportedLoad mLastReport = ReportedLoad.ofTotal(0);
    private int mReportedSlots;
    private long mLoadReportedAt = NEVER;
    private long mLastReceivedAt;
    private long mBusySince;
    private long mFullUntil;
    private Availability mAvailability;
    private boolean mEvacuated;
    private long mEvacuationEndedAt = NEVER;
    private long mColdUntil = NEVER;

    private Target(TargetEntry entry) {
        mEntry = entry;
        mSoftwareKey = entry.softwareKey();
        mAvailability = Availability.LISTED.withRowLeaving(entry.leaving());
        mHash = Hashes.of(entry.id());
        mIncarnation = entry.incarnation();
        mShortHash = mIncarnation.shortHash();
    }

    /** Creates the state of a newly discovered target. */
    public static Target of(TargetEntry entry) {
        return new Target(entry);
    }

    /** Creates the state of a newly discovered target whose cold period, if any, starts now. */
    public static Target of(TargetEntry entry, long nowMillis) {
        Target t = of(entry);
        t.updateColdUntil(nowMillis);
        return t;
    }

    // ---------------------------------------------------------------- identity and availability

    /** Returns the newest registration entry. */
    public TargetEntry entry() {
        return mEntry;
    }

    /** Returns the hash of pool and software version, see {@link TargetEntry#softwareKey}. */
    public long softwareKey() {
        return mSoftwareKey;
    }

    /** Returns the incarnation that this state belongs to. */
    public TargetIncarnation incarnation() {
        return mIncarnation;
    }

    /** Applies a newer entry of the same incarnation. */
    public void update(TargetEntry entry, long nowMillis) {
        boolean wasCold = mEntry.coldMillis() > 0;
        boolean longer = entry.coldMillis() > mEntry.coldMillis();
        boolean ended = wasCold && entry.coldMillis() == 0;
        mEntry = entry;
        mSoftwareKey = entry.softwareKey();
        mAvailability = mAvailability.withRowLeaving(entry.leaving());
        if (longer || ended) {
            updateColdUntil(nowMillis);
        }
    }

    /** Starts the cold period on receipt of the entry, which may arrive late but never early. */
    private void updateColdUntil(long nowMillis) {
        mColdUntil = mEntry.coldMillis() > 0 ? nowMillis + mEntry.coldMillis() : NEVER;
    }

    /** Handles a store restore, after which rows may be outdated. */
    void onStoreRestored() {
        mAvailability = mAvailability.withRowLeavingRetained();
    }

    /** Handles removal from the target list. */
    void onUnlisted() {
        mAvailability = mAvailability.withListed(false);
    }

    /** Handles a new listing of the same incarnation. */
    void onListedAgain(TargetEntry entry, long nowMillis) {
        update(entry, nowMillis);
        updateColdUntil(nowMillis);
        mAvailability = mAvailability.withListed(true);
    }

    /** Records that the target announced that it is leaving; returns whether that was unknown. */
    public boolean onLeavingAnnounced() {
        boolean changed = !mAvailability.isLeavingAnnounced();
        mAvailability = mAvailability.withLeavingAnnounced();
        return changed;
    }

    /** Records that another target was found at this address; returns whether that was unknown. */
    public boolean onReplaced() {
        boolean changed = !mAvailability.isReplaced();
        mAvailability = mAvailability.withReplaced();
        return changed;
    }

    /** Records a requested hold-off; returns whether the availability state changed. */
    public boolean onHoldOff(long millis, long nowMillis) {
        Availability.State before = mAvailability.state(nowMillis);
        mAvailability = mAvailability.withHoldOffUntil(nowMillis + millis);
        return mAvailability.state(nowMillis) != before;
    }

    /** Sets whether the target's failure domain is evacuated. */
    public void setEvacuated(boolean evacuated, long nowMillis) {
        if (mEvacuated && !evacuated) {
            mEvacuationEndedAt = nowMillis;
        }
        mEvacuated = evacuated;
    }

    /** Returns whether the target's failure domain is evacuated. */
    public boolean isEvacuated() {
        return mEvacuated;
    }

    /** Returns the availability as announced and listed, regardless of evacuations. */
    public Availability availability() {
        return mAvailability;
    }

    /** Returns whether the target belongs to its pool. */
    public boolean isPoolMember() {
        return mAvailability.isPoolMember();
    }

    /** Returns whether the target may get new requests: it is available and not evacuated. */
    public boolean acceptsRequests(long nowMillis) {
        return !mEvacuated && mAvailability.state(nowMillis) == Availability.State.AVAILABLE;
    }

    /** Returns whether the target belongs to its pool but may not get requests at present. */
    public boolean isPaused(long nowMillis) {
        return isPoolMember() && !acceptsRequests(nowMillis);
    }

    /** Returns the hash of the target's id. */
    public long hash() {
        return mHash;
    }

    /** Returns the hash that identifies this incarnation in messages between routers. */
    public int shortHash() {
        return mShortHash;
    }

    /**
     * Returns whether the target may be cold, either as reported, or because the evacuation of its
     * failure domain ended so recently that its report may not have arrived.
     *
     * @param coldMillis length of the cold period of targets of its pool
     */
    public boolean isCold(long coldMillis, long nowMillis) {
        return nowMillis < mColdUntil || nowMillis - mEvacuationEndedAt < coldMillis;
    }

    // ---------------------------------------------------------------- load

    /** Records a request sent by this router. */
    public void onRequestSent(long nowMillis) {
        if (mInFlight == mPaused) {
            mBusySince = nowMillis;
        }
        mInFlight++;
    }

    /** Records the end of a request of this router. */
    public void onRequestEnded() {
        mInFlight--;
    }

    /** Records that a response of this target is not read because its caller is slow. */
    public void onReadingPaused() {
        mPaused++;
    }

    /** Records that such a response is read again or has ended. */
    public void onReadingResumed(long nowMillis) {
        if (mInFlight == mPaused) {
            mBusySince = nowMillis;
        }
        mPaused--;
    }

    /** Records that the target sent data. */
    public void onDataReceived(long nowMillis) {
        mLastReceivedAt = nowMillis;
    }

    /** Returns whether the target sent data to this router within the given time. */
    public boolean hasSentDataWithin(long millis, long nowMillis) {
        return mLastReceivedAt != 0 && nowMillis - mLastReceivedAt < millis;
    }

    /** Records the total load reported by the target, running and queued requests. */
    public void onLoadReported(int totalLoad, long nowMillis) {
        onLoadReported(ReportedLoad.ofTotal(totalLoad), nowMillis);
    }

    /** Records the load that the target reported. */
    public void onLoadReported(ReportedLoad report, long nowMillis) {
        mLastReport = report;
        mOthersInFlight = Math.max(0, report.total() - mInFlight);
        mLoadReportedAt = nowMillis;
        if (report.slots() > 0) {
            mReportedSlots = report.slots(); // reports relayed by other routers have no slots
        }
        report.slowdownPercent().ifPresent(p -> mSlowdown.onReported(p, nowMillis));
    }

    /**
     * Records the total load that the target reported to another router, unless a newer report is
     * known.
     */
    public void onLoadRelayed(int totalLoad, long reportedAtMillis) {
        onLoadRelayed(ReportedLoad.ofTotal(totalLoad), reportedAtMillis);
    }

    /**
     * Records the load that the target reported to another router, unless a newer report is known.
     */
    public void onLoadRelayed(ReportedLoad report, long reportedAtMillis) {
        if (reportedAtMillis > mLoadReportedAt) {
            onLoadReported(report, reportedAtMillis);
        }
    }

    /** Returns the last total load reported to any router. */
    public int reportedLoad() {
        return mLastReport.total();
    }

    /** Returns the last load reported to any router, regardless of its age; 0 before the first. */
    public ReportedLoad lastReport() {
        return mLastReport;
    }

    /** Returns the last reported number of slots; 0 if not reported. */
    public int reportedSlots() {
        return mReportedSlots;
    }

    /**
     * Returns the number of requests in the target's queue, from all routers; 0 without a recent
     * load report.
     */
    public int waiting(long nowMillis) {
        return hasRecentLoadReport(nowMillis) ? mLastReport.waiting() : 0;
    }

    /**
     * Returns by which factor work currently takes longer at the target than usual; 1 if unknown.
     */
    public double slowdown(long nowMillis) {
        return mSlowdown.factor(nowMillis);
    }

    /** Records that the target refused a request because it was full. */
    public void onRequestRefused(long nowMillis) {
        mFullUntil = nowMillis + FULL_BACKOFF_MILLIS;
    }

    /** Records that the target has ended a request and therefore has room for another. */
    public void onRoomObserved() {
        mFullUntil = 0;
    }

    /** Returns whether the target recently refused a request because it was full. */
    public boolean isFull(long nowMillis) {
        return nowMillis < mFullUntil;
    }

    /** Returns the time until which the target is skipped after it refused a request as full. */
    public long fullUntil() {
        return mFullUntil;
    }

    /** Returns the number of requests in flight from this router. */
    public int inFlight() {
        return mInFlight;
    }

    /**
     * Returns the number of requests in flight from other routers; 0 without a recent load report.
     */
    public int othersInFlight(long nowMillis) {
        return hasRecentLoadReport(nowMillis) ? mOthersInFlight : 0;
    }

    private boolean hasRecentLoadReport(long nowMillis) {
        return nowMillis - mLoadReportedAt <= LOAD_REPORT_TTL_MILLIS;
    }

    /** Returns the age of the last load report in milliseconds, or -1 if there is none. */
    public long loadReportAgeMillis(long nowMillis) {
        return mLoadReportedAt == NEVER ? -1 : nowMillis - mLoadReportedAt;
    }

    // ---------------------------------------------------------------- health

    /** Returns the health state. */
    public TargetHealth health() {
        return mHealth;
    }

    /** Returns the error rate. */
    public ErrorRate errors() {
        return mErrors;
    }

    /** Returns whether the target has requests of this router and has sent no data for too long. */
    public boolean isSilent(long nowMillis) {
        return silentMillis(nowMillis) > SILENCE_TIMEOUT_MILLIS;
    }

    /**
     * Returns how long the target has had requests of this router without sending data, in
     * milliseconds. Requests whose responses are not read do not count.
     */
    public long silentMillis(long nowMillis) {
        return mInFlight == mPaused ? 0 : nowMillis - Math.max(mLastReceivedAt, mBusySince);
    }
}
