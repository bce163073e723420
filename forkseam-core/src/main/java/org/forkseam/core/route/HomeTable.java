package org.forkseam.core.route;

import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Looks up the homes of a chat, in order of preference.
 *
 * <p>The key space is divided into a fixed number of buckets. Each stores its first few targets by
 * weighted rendezvous hashing. Routers with the same members agree without communication, and a
 * target that joins or leaves moves only its share of the buckets. Lookup takes constant time.
 * Immutable.
 *
 * @since 0.1
 */
public final class HomeTable {
    /** The number of buckets; a change would move chats. */
    static final int BUCKETS = 1 << 14;

    /** The highest number of homes per bucket. */
    static final int MAX_HOMES = 4;

    private final List<Member> mMembers;
    private final short[] mHomes;
    private final int mHomesPerKey;

    /**
     * Describes a target of the table.
     *
     * @param name the target's name
     * @param capacity the target's weight
     */
    public record Member(String name, int capacity) {}

    private HomeTable(List<Member> members, short[] homes, int depth) {
        mMembers = members;
        mHomes = homes;
        mHomesPerKey = depth;
    }

    /** Builds the table for a set of members. */
    public static HomeTable of(List<Member> members) {
        return build(members, null);
    }

    /** Builds the table for a changed set of members, recomputing only the buckets affected. */
    public HomeTable with(List<Member> members) {
        return members.equals(mMembers) ? this : build(members, this);
    }

    private static HomeTable build(List<Member> members, HomeTable old) {
        int n = members.size();
        int depth = Math.min(MAX_HOMES, n);
        long[] hashes = new long[n];
        for (int i = 0; i < n; i++) {
            hashes[i] = Hashes.of(members.get(i).name());
        }
        short[] homes = new short[BUCKETS * depth];
        IncrementalBuild incremental =
                old == null ? null : IncrementalBuild.of(old, members, depth);
        short[] all = new short[n];
        for (int i = 0; i < n; i++) {
            all[i] = (short) i;
        }
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            short[] candidates = incremental == null ? all : incremental.candidates(bucket, all);
            rankBucket(members, hashes, homes, bucket, depth, candidates);
        }
        return new HomeTable(List.copyOf(members), homes, depth);
    }

    private static void rankBucket(
            List<Member> members,
            long[] hashes,
            short[] homes,
            int bucket,
            int depth,
            short[] candidates) {
        double[] best = new double[depth];
        Arrays.fill(best, Double.NEGATIVE_INFINITY);
        long key = Hashes.mix(bucket, BUCKETS);
        for (short i : candidates) {
            double score = Rendezvous.score(key, hashes[i], members.get(i).capacity());
            int position = depth;
            while (position > 0 && score > best[position - 1]) {
                position--;
            }
            if (position == depth) {
                continue;
            }
            int base = bucket * depth;
            for (int j = depth - 1; j > position; j--) {
                best[j] = best[j - 1];
                homes[base + j] = homes[base + j - 1];
            }
            best[position] = score;
            homes[base + position] = i;
        }
    }

    /** Returns the number of homes of each key. */
    public int homesPerKey() {
        return mHomesPerKey;
    }

    /** Returns the index in {@link #members} of a key's home of the given rank. */
    public int home(long key, int rank) {
        int bucket = (int) (Hashes.mix(key, 1) & (BUCKETS - 1));
        return mHomes[bucket * mHomesPerKey + rank];
    }

    /** Returns the members in the order of their indexes. */
    public List<Member> members() {
        return mMembers;
    }

    /** Determines which members can be among a bucket's homes after a change. */
    private record IncrementalBuild(
            HomeTable old, short[] newIndexOfOld, short[] added, int depth) {
        static IncrementalBuild of(HomeTable old, List<Member> members, int depth) {
            Map<Member, Short> index = new HashMap<>();
            for (int i = 0; i < members.size(); i++) {
                index.put(members.get(i), (short) i);
            }
            short[] newIndexes = new short[old.mMembers.size()];
            for (int i = 0; i < newIndexes.length; i++) {
                Short newIndex = index.remove(old.mMembers.get(i));
                newIndexes[i] = newIndex == null ? -1 : newIndex;
            }
            List<Short> remaining = new ArrayList<>(index.values());
            short[] added = new short[remaining.size()];
            for (int i = 0; i < added.length; i++) {
                added[i] = remaining.get(i);
            }
            return new IncrementalBuild(old, newIndexes, added, depth);
        }

        /** A bucket that lost no member only needs its previous homes and the members added. */
        short[] candidates(int bucket, short[] all) {
            if (old.mHomesPerKey != depth) {
                return all;
            }
            short[] candidates = new short[depth + added.length];
            for (int i = 0; i < depth; i++) {
                short newIndex = newIndexOfOld[old.mHomes[bucket * depth + i]];
                if (newIndex < 0) {
                    return all;
                }
                candidates[i] = newIndex;
            }
            System.arraycopy(added, 0, candidates, depth, added.length);
            return candidates;
        }
    }
}
