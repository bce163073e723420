package org.forkseam.core.route;

import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Maps the shards of a pool to the targets that own them. Keys hash to shards rather than targets,
 * so a target that takes over a shard takes its keys and no others. Immutable.
 *
 * @since 0.2
 */
public final class ShardTable {
    /** Separates shard hashes from other hashes of small numbers. */
    private static final long SHARD_SALT = 0x5EA7L;

    private static final ShardTable EMPTY = new ShardTable(List.of());

    private final List<String> mOwners;
    private final Set<String> mOwnerSet;

    private ShardTable(List<String> owners) {
        mOwners = List.copyOf(owners);
        mOwnerSet = new HashSet<>(owners);
    }

    /** Creates a table from the owners' target ids by shard index. */
    public static ShardTable of(List<String> owners) {
        return owners.isEmpty() ? EMPTY : new ShardTable(owners);
    }

    /** Returns a table without shards. */
    public static ShardTable empty() {
        return EMPTY;
    }

    /** Returns the target ids by shard index. */
    public List<String> owners() {
        return mOwners;
    }

    /** Returns whether a target owns a shard. */
    public boolean isOwner(String targetId) {
        return mOwnerSet.contains(targetId);
    }

    /** Returns a table in which a shard has another owner. */
    public ShardTable withOwner(int shard, String targetId) {
        List<String> owners = new ArrayList<>(mOwners);
        owners.set(shard, targetId);
        return of(owners);
    }

    /** Returns a table with an additional shard. */
    public ShardTable withShard(String targetId) {
        List<String> owners = new ArrayList<>(mOwners);
        owners.add(targetId);
        return of(owners);
    }

    /** Returns the owners in a key's order of preference. */
    public List<String> preferenceOrder(long keyHash) {
        List<ScoredOwner> scored = new ArrayList<>(mOwners.size());
        for (int i = 0; i < mOwners.size(); i++) {
            double score = Rendezvous.score(keyHash, Hashes.mix(SHARD_SALT, i), 1);
            scored.add(new ScoredOwner(mOwners.get(i), score));
        }
        scored.sort(Comparator.comparingDouble(s -> -s.score()));
        return scored.stream().map(ScoredOwner::owner).toList();
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof ShardTable t && t.mOwners.equals(mOwners);
    }

    @Override
    public int hashCode() {
        return mOwners.hashCode();
    }

    @Override
    public String toString() {
        return mOwners.toString();
    }

    /** Pairs an owner with its score for a key. */
    private record ScoredOwner(String owner, double score) {}
}
