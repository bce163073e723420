package org.forkseam.core.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the newest digest of each target of a pool.
 *
 * <p>Digests may come late, twice or out of order: only a newer one of the same target counts. Not
 * thread-safe; each daemon uses it on its event loop.
 *
 * @since 0.1
 */
public final class PoolLoad {
    private final Map<String, LoadDigest> mNewest = new HashMap<>();
    private long mTotalLoad;
    private long mTotalCapacity;

    /** Takes a digest in; returns false if it told nothing new. */
    public boolean merge(LoadDigest digest) {
        LoadDigest old = mNewest.get(digest.target());
        if (old != null && !digest.isNewerThan(old)) {
            return false;
        }
        mNewest.put(digest.target(), digest);
        mTotalLoad += digest.load() - (old == null ? 0 : old.load());
        mTotalCapacity += digest.capacity() - (old == null ? 0 : old.capacity());
        return true;
    }

    /** Forgets targets that are no longer members of the pool. */
    public void retain(Set<String> members) {
        mNewest.keySet().retainAll(members);
        mTotalLoad = mNewest.values().stream().mapToLong(LoadDigest::load).sum();
        mTotalCapacity = mNewest.values().stream().mapToLong(LoadDigest::capacity).sum();
    }

    /** Returns the newest digest of a target. */
    public Optional<LoadDigest> of(String target) {
        return Optional.ofNullable(mNewest.get(target));
    }

    /** Returns requests carried by all targets heard of. */
    public long totalLoad() {
        return mTotalLoad;
    }

    /** Returns the capacity of all targets heard of. */
    public long totalCapacity() {
        return mTotalCapacity;
    }

    /** Returns the number of targets heard of. */
    public int size() {
        return mNewest.size();
    }
}
