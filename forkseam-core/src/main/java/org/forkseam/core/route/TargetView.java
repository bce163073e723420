package org.forkseam.core.route;

import org.forkseam.core.label.Labels;
import org.forkseam.core.load.LoadDigest;
import org.forkseam.core.member.TargetHealth;

import java.util.Optional;

/**
 * Holds a router's view of a target.
 *
 * <p>This is soft state: if it is wrong, a request is refused and retried elsewhere. Not
 * thread-safe; used on the router's event loop.
 *
 * @since 0.1
 */
public final class TargetView {
    private static final double DEFAULT_LIFETIME_MILLIS = 600_000;
    private static final double MIN_LIFETIME_MILLIS = 2_000;
    private static final double MAX_LIFETIME_MILLIS = 7_200_000;
    private static final long DIGEST_STALE_MILLIS = 5_000;

    private final String mName;
    private String mFailureDomain;
    private final String mAddress;
    private Labels mLabels;
    private int mCapacity;
    private final TargetHealth mHealth = new TargetHealth();
    private LoadDigest mDigest;
    private int mInFlight;
    private int mInFlightAtDigest;
    private boolean mLeaving;
    private double mCacheLifetimeMillis = DEFAULT_LIFETIME_MILLIS;

    private TargetView(
            String name, String failureDomain, String address, Labels labels, int capacity) {
        mName = name;
        mFailureDomain = failureDomain;
        mAddress = address;
        mLabels = labels;
        mCapacity = capacity;
    }

    /** Creates a view of a target without observed state. */
    public static TargetView of(
            String name, String failureDomain, String address, Labels labels, int capacity) {
        return new TargetView(name, failureDomain, address, labels, capacity);
    }

    // ---------------------------------------------------------------- accessors

    /** Returns the target's name. */
    public String name() {
        return mName;
    }

    /** Returns the failure domain of the target's host. */
    public String failureDomain() {
        return mFailureDomain;
    }

    /** Returns the address of the target's sidecar, {@code ip:port}. */
    public String address() {
        return mAddress;
    }

    /** Returns the target's labels, including those set by operators. */
    public Labels labels() {
        return mLabels;
    }

    /** Returns how many requests the target runs concurrently. */
    public int capacity() {
        return mCapacity;
    }

    /** Returns the target's health, based on recent outcomes. */
    public TargetHealth health() {
        return mHealth;
    }

    /** Returns the newest digest received. */
    public Optional<LoadDigest> digest() {
        return Optional.ofNullable(mDigest);
    }

    /** Returns the number of this router's requests in flight at the target. */
    public int inFlight() {
        return mInFlight;
    }

    /**
     * Returns whether the target accepts no new work, according to the host list, operators or a
     * recent digest. A digest expires, so that a target that stays after all is tried again.
     */
    public boolean isLeaving(long nowMillis) {
        boolean fresh = mDigest != null && nowMillis - mDigest.atMillis() <= DIGEST_STALE_MILLIS;
        return mLeaving || (fresh && mDigest.leaving());
    }

    /** Returns whether the host list or operators declare the target as leaving. */
    public boolean isDeclaredLeaving() {
        return mLeaving;
    }

    /**
     * Returns the load from the newest digest plus requests sent since, or just the requests in
     * flight if there is no recent digest.
     */
    public int estimatedLoad(long nowMillis) {
        if (mDigest == null || nowMillis - mDigest.atMillis() > DIGEST_STALE_MILLIS) {
            return mInFlight;
        }
        return Math.max(mInFlight, mDigest.load() + mInFlight - mInFlightAtDigest);
    }

    // ---------------------------------------------------------------- updates

    /** Applies a digest unless it is older than the current one. */
    public void onDigest(LoadDigest digest) {
        if (mDigest == null || digest.isNewerThan(mDigest)) {
            mDigest = digest;
            mInFlightAtDigest = mInFlight;
        }
    }

    /** Sets whether the host list or operators declare the target as leaving. */
    public void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Records that a request was sent. */
    public void onSent() {
        mInFlight++;
    }

    /** Records that a request sent has ended. */
    public void onEnded() {
        mInFlight--;
        if (mInFlightAtDigest > 0) {
            mInFlightAtDigest--;
        }
    }

    /**
     * Adjusts the estimated lifetime of cached prefixes.
     *
     * @param ageMillis time since the prefix was last used at the target
     * @param expectedTokens cached tokens according to the ticket
     * @param cachedTokens tokens actually served from the cache
     */
    public void onCacheResult(long ageMillis, int expectedTokens, int cachedTokens) {
        if (expectedTokens <= 0 || ageMillis <= 0) {
            return;
        }
        boolean hit = cachedTokens * 2 >= expectedTokens;
        if (hit && ageMillis > mCacheLifetimeMillis / 4) {
            mCacheLifetimeMillis = Math.min(MAX_LIFETIME_MILLIS, mCacheLifetimeMillis * 1.1);
        } else if (!hit && ageMillis < mCacheLifetimeMillis * 2) {
            mCacheLifetimeMillis = Math.max(MIN_LIFETIME_MILLIS, mCacheLifetimeMillis * 0.9);
        }
    }

    /** Sets the lifetime of cached prefixes as reported by the target's cache events. */
    public void onCacheLifetime(long millis) {
        mCacheLifetimeMillis =
                Math.max(MIN_LIFETIME_MILLIS, Math.min(MAX_LIFETIME_MILLIS, (double) millis));
    }

    /** Returns the probability that a prefix last used the given time ago is still cached. */
    public double hitProbability(long ageMillis) {
        return Math.exp(-Math.max(0, ageMillis) / mCacheLifetimeMillis);
    }

    /**
     * Updates the target's declaration and keeps its observed state. The instance is kept, since
     * requests in flight refer to it to record their end.
     */
    public void update(String failureDomain, Labels labels, int capacity) {
        mFailureDomain = failureDomain;
        mLabels = labels;
        mCapacity = capacity;
    }
}
