package org.forkseam.core.member;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Hashes;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks the failure domains that operators have evacuated, i.e. that get no new requests.
 *
 * <p>Updates come from several sources and may be late or duplicated. They are ordered by their
 * position in the store's history; older updates are ignored.
 *
 * <p>After the store is restored from a backup it may lack recent evacuations and contain ended
 * ones until operators write them again. For that grace period the previously effective evacuations
 * are retained, except for changes made after the restore.
 *
 * <p>Not thread-safe.
 *
 * @since 0.5
 */
public final class Evacuations {
    /** Time within which operators rewrite their evacuations after a restore. */
    private static final long REWRITE_GRACE_MILLIS = 2_100;

    /** Ended evacuations remembered. */
    private static final int MAX_ENDED = 1_024;

    private final BoundedMap<String, Integer> mEndedInEra = BoundedMap.byInsertion(MAX_ENDED);
    private StorePosition mPosition = StorePosition.NONE;
    private Set<String> mReported = Set.of();
    private Set<String> mRetained = Set.of();
    private Set<String> mEffective = Set.of();
    private long mRetainUntil = Long.MIN_VALUE;

    private Evacuations() {}

    /** Creates a state without evacuations. */
    public static Evacuations create() {
        return new Evacuations();
    }

    /** Returns the domains that get no new requests, sorted by name. */
    public Set<String> domains() {
        return mEffective;
    }

    /** Returns the domains that the store lists, sorted by name. */
    public Set<String> reported() {
        return mReported;
    }

    /** Returns the store position of the last update. */
    public StorePosition position() {
        return mPosition;
    }

    /** Returns an order-independent hash of the domains that the store lists. */
    public long fingerprint() {
        return fingerprint(mReported);
    }

    /** Returns an order-independent hash of the given domains. */
    public static long fingerprint(Collection<String> domains) {
        long sum = domains.size();
        for (String d : domains) {
            sum += Hashes.of(d); // order-independent
        }
        return sum;
    }

    /** Returns whether the grace period after a restore is still running. */
    public boolean isReconciling(long nowMillis) {
        return nowMillis < mRetainUntil;
    }

    /** Returns the end of the grace period after the last restore. */
    public long retainUntil() {
        return mRetainUntil;
    }

    /**
     * Replaces the evacuated domains by those of a store snapshot.
     *
     * @return whether the effective evacuations changed
     */
    public boolean replace(StorePosition position, Collection<String> domains, long nowMillis) {
        if (position.isBefore(mPosition)) {
            return false;
        }
        Set<String> updated = new TreeSet<>(domains);
        if (position.isRestoreSince(mPosition)) {
            mRetained = mEffective;
            mRetainUntil = nowMillis + REWRITE_GRACE_MILLIS;
        } else {
            recordChanges(updated);
        }
        return update(position, updated, nowMillis);
    }

    /**
     * Applies the changes up to a position, made since a position of the same era that is not newer
     * than the current one.
     *
     * @return whether the effective evacuations changed
     */
    public boolean applyChanges(
            StorePosition position,
            Collection<String> evacuated,
            Collection<String> ended,
            long nowMillis) {
        if (position.isBefore(mPosition)) {
            return false; // a newer state is already known
        }
        Set<String> updated = new TreeSet<>(mReported);
        updated.removeAll(ended);
        updated.addAll(evacuated);
        mRetained = without(mRetained, ended);
        recordChanges(updated);
        return update(position, updated, nowMillis);
    }

    /**
     * Recomputes the effective evacuations. After the grace period only the store's list counts.
     *
     * @return whether they changed
     */
    public boolean reconcile(long nowMillis) {
        Set<String> updated = new TreeSet<>(mReported);
        if (nowMillis < mRetainUntil) {
            updated.removeIf(this::wasEndedBeforeRestore);
            updated.addAll(mRetained);
        }
        if (updated.equals(mEffective)) {
            return false;
        }
        mEffective = updated;
        return true;
    }

    /** Returns whether the evacuation of a domain had ended before the restore. */
    private boolean wasEndedBeforeRestore(String domain) {
        Integer era = mEndedInEra.get(domain);
        return era != null && era < mPosition.era();
    }

    /**
     * Records changes within an era; those are new requests of operators and take effect
     * immediately.
     */
    private void recordChanges(Set<String> updated) {
        Set<String> ended = without(mReported, updated);
        mRetained = without(mRetained, ended);
        ended.forEach(d -> mEndedInEra.put(d, mPosition.era()));
        mEndedInEra.keySet().removeAll(without(updated, mReported));
    }

    private static Set<String> without(Set<String> domains, Collection<String> others) {
        Set<String> left = new TreeSet<>(domains);
        left.removeAll(others);
        return left;
    }

    private boolean update(StorePosition position, Set<String> updated, long nowMillis) {
        mPosition = position;
        mReported = updated;
        return reconcile(nowMillis);
    }
}
