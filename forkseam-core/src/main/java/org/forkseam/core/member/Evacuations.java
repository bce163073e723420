package org.forkseam.core.member;

import org.forkseam.core.util.Hashes;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Keeps the failure domains that operators have asked to send nothing to.
 *
 * <p>What is told of them comes from several sources, late or twice: a revision orders it, and what
 * is older than what is known changes nothing. Used on one thread.
 *
 * @since 0.5
 */
public final class Evacuations {
    private Set<String> mDomains = Set.of();
    private long mRevision = -1;

    private Evacuations() {}

    /** Creates the state of a router that knows of no evacuation. */
    public static Evacuations create() {
        return new Evacuations();
    }

    /** Returns the domains, sorted by name. */
    public Set<String> domains() {
        return mDomains;
    }

    /** Returns the source's revision that the domains are known of, or -1. */
    public long revision() {
        return mRevision;
    }

    /** Returns a hash of the domains, whatever their order. */
    public long fingerprint() {
        return fingerprint(mDomains);
    }

    /** Returns a hash of some domains, whatever their order. */
    public static long fingerprint(Collection<String> domains) {
        long sum = domains.size();
        for (String d : domains) {
            sum += Hashes.of(d); // a sum, since the order says nothing
        }
        return sum;
    }

    /**
     * Takes all evacuated domains in, as of a revision.
     *
     * @return whether that changed anything
     */
    public boolean replace(long revision, Collection<String> domains) {
        return revision >= mRevision && set(revision, new TreeSet<>(domains));
    }

    /**
     * Takes in what has changed up to a revision since one that is not newer than the one known.
     *
     * @return whether that changed anything
     */
    public boolean change(
            long revision, Collection<String> evacuated, Collection<String> returned) {
        if (revision < mRevision) {
            return false; // a newer state was told meanwhile
        }
        Set<String> next = new TreeSet<>(mDomains);
        next.removeAll(returned);
        next.addAll(evacuated);
        return set(revision, next);
    }

    private boolean set(long revision, Set<String> next) {
        mRevision = revision;
        if (next.equals(mDomains)) {
            return false;
        }
        mDomains = next;
        return true;
    }
}
