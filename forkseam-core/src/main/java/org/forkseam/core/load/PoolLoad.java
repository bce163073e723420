package org.forkseam.core.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the newest digest of each target of a pool.
 *
 * <p>Digests that arrive late, twice or out of order are ignored. Not thread-safe; used on the
 * event loop.
 *
 * @since 0.1
 */
public final class PoolLoad {
    private final Map<String, LoadDigest> mNewest = new HashMap<>();
    private long mTotalLoad;
    private long mTotalCapacity;

    /** Applies a digest; returns false if it is not newer than the current one. */
    public boolean merge(LoadDigest digest) {
        LoadDigest previous = mNewest.get(digest.target());
        if (previous != null && !digest.isNewerThan(previous)) {
            return false;
        }
        mNewest.put(digest.target(), digest);
        mTotalLoad += digest.load() - (previous == null ? 0 : previous.load());
        mTotalCapacity += digest.capacity() - (previous == null ? 0 : previous.capacity());
        return true;
    }

    /** Removes targets that are no longer members of the pool. */
    public void retain(Set<String> members) {
        mNewest.keySet().retainAll(members);
        mTotalLoad = mNewest.values().stream().mapToLong(LoadDigest::load).sum();
        mTotalCapacity = mNewest.values().stream().mapToLong(LoadDigest::capacity).sum();
    }

    /** Returns the newest digest of a target. */
    public Optional<LoadDigest> newest(String target) {
        return Optional.ofNullable(mNewest.get(target));
    }

    /** Returns the total load of the known targets. */
    public long totalLoad() {
        return mTotalLoad;
    }

    /** Returns the total capacity of the known targets. */
    public long totalCapacity() {
        return mTotalCapacity;
    }

    /** Returns the number of known targets. */
    public int size() {
        return mNewest.size();
    }
}
