package org.forkseam.core.route;

import org.forkseam.core.label.Labels;
import org.forkseam.core.load.LoadDigest;
import org.forkseam.core.member.TargetHealth;

import java.util.Optional;

/**
 * Holds what one router believes of one target.
 *
 * <p>All of it is soft state: wrong beliefs cost a refusal and a second try, never a promise. Not
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
    private double mCacheLifetime = DEFAULT_LIFETIME_MILLIS;

    private TargetView(
            String name, String failureDomain, String address, Labels labels, int capacity) {
        mName = name;
        mFailureDomain = failureDomain;
        mAddress = address;
        mLabels = labels;
        mCapacity = capacity;
    }

    /** Creates a view of a target of which nothing has been heard yet. */
    public static TargetView of(
            String name, String failureDomain, String address, Labels labels, int capacity) {
        return new TargetView(name, failureDomain, address, labels, capacity);
    }

    // ---------------------------------------------------------------- accessors

    /** Returns the target's name. */
    public String name() {
        return mName;
    }

    /** Returns the failure domain the target's host is in. */
    public String failureDomain() {
        return mFailureDomain;
    }

    /** Returns the address of the target's sidecar, {@code ip:port}. */
    public String address() {
        return mAddress;
    }

    /** Returns the target's labels, with those operators gave it. */
    public Labels labels() {
        return mLabels;
    }

    /** Returns how many requests the target runs at once. */
    public int capacity() {
        return mCapacity;
    }

    /** Returns what recent outcomes say of the target. */
    public TargetHealth health() {
        return mHealth;
    }

    /** Returns the newest digest heard. */
    public Optional<LoadDigest> digest() {
        return Optional.ofNullable(mDigest);
    }

    /** Returns requests of this router's that the target has not answered yet. */
    public int inFlight() {
        return mInFlight;
    }

    /**
     * Returns whether the target takes no new work, by the host list or by its own word. Its own
     * word is believed for a while only: a target that stays after all is then tried again.
     */
    public boolean isLeaving(long nowMillis) {
        boolean fresh = mDigest != null && nowMillis - mDigest.atMillis() <= DIGEST_STALE_MILLIS;
        return mLeaving || (fresh && mDigest.leaving());
    }

    /** Returns whether the host list or the operators say that the target leaves. */
    public boolean isDeclaredLeaving() {
        return mLeaving;
    }

    /** Returns the load to reckon with: the newest digest and what this router sent since. */
    public int estimatedLoad(long nowMillis) {
        if (mDigest == null || nowMillis - mDigest.atMillis() > DIGEST_STALE_MILLIS) {
            return mInFlight;
        }
        return Math.max(mInFlight, mDigest.load() + mInFlight - mInFlightAtDigest);
    }

    // ---------------------------------------------------------------- what was observed

    /** Takes a newer digest in and drops others. */
    public void onDigest(LoadDigest digest) {
        if (mDigest == null || digest.isNewerThan(mDigest)) {
            mDigest = digest;
            mInFlightAtDigest = mInFlight;
        }
    }

    /** Notes that the host list or the operators say the target leaves, or stays after all. */
    public void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Notes a request sent. */
    public void onSent() {
        mInFlight++;
    }

    /** Notes the end of a request sent. */
    public void onEnded() {
        mInFlight--;
        if (mInFlightAtDigest > 0) {
            mInFlightAtDigest--;
        }
    }

    /**
     * Corrects the belief in how long this target keeps a prefix.
     *
     * @param ageMillis time since the prefix was last used there
     * @param expectedTokens tokens the ticket promised
     * @param cachedTokens tokens really reused
     */
    public void onReuse(long ageMillis, int expectedTokens, int cachedTokens) {
        if (expectedTokens <= 0 || ageMillis <= 0) {
            return;
        }
        boolean kept = cachedTokens * 2 >= expectedTokens;
        if (kept && ageMillis > mCacheLifetime / 4) {
            mCacheLifetime = Math.min(MAX_LIFETIME_MILLIS, mCacheLifetime * 1.1);
        } else if (!kept && ageMillis < mCacheLifetime * 2) {
            mCacheLifetime = Math.max(MIN_LIFETIME_MILLIS, mCacheLifetime * 0.9);
        }
    }

    /** Takes in how long the target keeps a prefix by its own cache events. */
    public void onCacheLifetime(long millis) {
        mCacheLifetime =
                Math.max(MIN_LIFETIME_MILLIS, Math.min(MAX_LIFETIME_MILLIS, (double) millis));
    }

    /** Returns the chance that a prefix last used so long ago is still cached there. */
    public double chanceHeld(long ageMillis) {
        return Math.exp(-Math.max(0, ageMillis) / mCacheLifetime);
    }

    /**
     * Takes changed labels in and keeps everything observed. The view stays the same object, since
     * requests under way hold on to it to report their end.
     */
    public void update(String failureDomain, Labels labels, int capacity) {
        mFailureDomain = failureDomain;
        mLabels = labels;
        mCapacity = capacity;
    }
}
