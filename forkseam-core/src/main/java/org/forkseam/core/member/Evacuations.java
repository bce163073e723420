package org.forkseam.core.member;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Hashes;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Keeps the failure domains that operators have asked to send nothing to.
 *
 * <p>What is told of them comes from several sources, late or twice: its position in the source's
 * history orders it, and what is older than what is known changes nothing.
 *
 * <p>A source that has come back from an older copy may lack what operators asked last, and hold
 * what they have taken back since; they write it again soon. Until then what was in force stays so,
 * both ways, but for what they ask anew. Used on one thread.
 *
 * @since 0.5
 */
public final class Evacuations {
    /** Operators write again within about two seconds. Origin: the operators' word. */
    private static final long WRITTEN_AGAIN_MILLIS = 2_100;

    /** Domains remembered as taken back; operators have some dozen. */
    private static final int MAX_RETURNED = 1_024;

    private final BoundedMap<String, Integer> mReturnedInEra = BoundedMap.byInsertion(MAX_RETURNED);
    private StorePosition mPosition = StorePosition.NONE;
    private Set<String> mTold = Set.of();
    private Set<String> mHeld = Set.of();
    private Set<String> mDomains = Set.of();
    private long mHeldUntil = Long.MIN_VALUE;

    private Evacuations() {}

    /** Creates the state of a router that knows of no evacuation. */
    public static Evacuations create() {
        return new Evacuations();
    }

    /** Returns the domains that get nothing, sorted by name. */
    public Set<String> domains() {
        return mDomains;
    }

    /** Returns the domains that the source names, sorted by name. */
    public Set<String> told() {
        return mTold;
    }

    /** Returns where in the source's history the domains are known of. */
    public StorePosition position() {
        return mPosition;
    }

    /** Returns a hash of the domains that the source names, whatever their order. */
    public long fingerprint() {
        return fingerprint(mTold);
    }

    /** Returns a hash of some domains, whatever their order. */
    public static long fingerprint(Collection<String> domains) {
        long sum = domains.size();
        for (String d : domains) {
            sum += Hashes.of(d); // a sum, since the order says nothing
        }
        return sum;
    }

    /** Returns whether it is still open what the source will name, until {@link #heldUntil}. */
    public boolean isOpen(long now) {
        return now < mHeldUntil;
    }

    /** Returns when the source's word alone holds again after its last return. */
    public long heldUntil() {
        return mHeldUntil;
    }

    /**
     * Takes all evacuated domains in, as of a position.
     *
     * @return whether that changed which domains get nothing
     */
    public boolean replace(StorePosition position, Collection<String> domains, long now) {
        if (position.isBefore(mPosition)) {
            return false;
        }
        Set<String> next = new TreeSet<>(domains);
        if (position.isReturnSince(mPosition)) {
            mHeld = mDomains;
            mHeldUntil = now + WRITTEN_AGAIN_MILLIS;
        } else {
            noteChanges(next);
        }
        return set(position, next, now);
    }

    /**
     * Takes in what has changed up to a position since one of the same era that is not newer than
     * the one known.
     *
     * @return whether that changed which domains get nothing
     */
    public boolean change(
            StorePosition position,
            Collection<String> evacuated,
            Collection<String> returned,
            long now) {
        if (position.isBefore(mPosition)) {
            return false; // a newer state was told meanwhile
        }
        Set<String> next = new TreeSet<>(mTold);
        next.removeAll(returned);
        next.addAll(evacuated);
        mHeld = without(mHeld, returned);
        noteChanges(next);
        return set(position, next, now);
    }

    /** Lets the source's word alone hold, once its time has come; returns whether that changed. */
    public boolean settle(long now) {
        Set<String> next = new TreeSet<>(mTold);
        if (now < mHeldUntil) {
            next.removeIf(this::isTakenBack);
            next.addAll(mHeld);
        }
        if (next.equals(mDomains)) {
            return false;
        }
        mDomains = next;
        return true;
    }

    /** Returns whether a domain was taken back before the source came back. */
    private boolean isTakenBack(String domain) {
        Integer era = mReturnedInEra.get(domain);
        return era != null && era < mPosition.era();
    }

    /** What changes within an era is what operators ask anew. */
    private void noteChanges(Set<String> next) {
        Set<String> returned = without(mTold, next);
        mHeld = without(mHeld, returned);
        returned.forEach(d -> mReturnedInEra.put(d, mPosition.era()));
        mReturnedInEra.keySet().removeAll(without(next, mTold));
    }

    private static Set<String> without(Set<String> domains, Collection<String> others) {
        Set<String> left = new TreeSet<>(domains);
        left.removeAll(others);
        return left;
    }

    private boolean set(StorePosition position, Set<String> next, long now) {
        mPosition = position;
        mTold = next;
        return settle(now);
    }
}
