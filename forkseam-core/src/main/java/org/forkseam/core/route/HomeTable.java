package org.forkseam.core.route;

import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Answers at once which targets are a chat's homes, best first.
 *
 * <p>The key space is cut into a fixed number of slots, the same on every router, and each slot
 * keeps its first few targets by weighted rendezvous hashing. Routers with the same members so
 * agree without any message, and a target that joins or leaves moves only its own share of slots.
 * Looking up costs the same for 12 targets as for 830. Immutable.
 *
 * @since 0.1
 */
public final class HomeTable {
    /** Slots of the key space; never changed, or chats would move. */
    static final int SLOTS = 1 << 14;

    /** Homes kept for each slot. */
    static final int DEPTH = 4;

    private final List<Member> mMembers;
    private final short[] mSlots;
    private final int mDepth;

    /**
     * Names one target of the table.
     *
     * @param name the target's name
     * @param capacity its weight
     */
    public record Member(String name, int capacity) {}

    private HomeTable(List<Member> members, short[] slots, int depth) {
        mMembers = members;
        mSlots = slots;
        mDepth = depth;
    }

    /** Builds the table of a set of members. */
    public static HomeTable of(List<Member> members) {
        return build(members, null);
    }

    /** Builds the table of a changed set of members, counting anew only the slots that changed. */
    public HomeTable with(List<Member> members) {
        return members.equals(mMembers) ? this : build(members, this);
    }

    private static HomeTable build(List<Member> members, HomeTable old) {
        int n = members.size();
        int depth = Math.min(DEPTH, n);
        long[] hashes = new long[n];
        for (int i = 0; i < n; i++) {
            hashes[i] = Hashes.of(members.get(i).name());
        }
        short[] slots = new short[SLOTS * depth];
        Reuse reuse = old == null ? null : Reuse.of(old, members, depth);
        short[] all = new short[n];
        for (int i = 0; i < n; i++) {
            all[i] = (short) i;
        }
        for (int s = 0; s < SLOTS; s++) {
            short[] among = reuse == null ? all : reuse.contenders(s, all);
            fill(members, hashes, slots, s, depth, among);
        }
        return new HomeTable(List.copyOf(members), slots, depth);
    }

    private static void fill(
            List<Member> members, long[] hashes, short[] slots, int s, int depth, short[] among) {
        double[] best = new double[depth];
        Arrays.fill(best, Double.NEGATIVE_INFINITY);
        long key = Hashes.mix(s, SLOTS);
        for (short i : among) {
            double score = Rendezvous.score(key, hashes[i], members.get(i).capacity());
            int at = depth;
            while (at > 0 && score > best[at - 1]) {
                at--;
            }
            if (at == depth) {
                continue;
            }
            int base = s * depth;
            for (int j = depth - 1; j > at; j--) {
                best[j] = best[j - 1];
                slots[base + j] = slots[base + j - 1];
            }
            best[at] = score;
            slots[base + at] = i;
        }
    }

    /** Returns the number of homes each key has. */
    public int depth() {
        return mDepth;
    }

    /** Returns the index, in the order of the members given, of a key's home of some rank. */
    public int home(long key, int rank) {
        int slot = (int) (Hashes.mix(key, 1) & (SLOTS - 1));
        return mSlots[slot * mDepth + rank];
    }

    /** Returns the members in the order that indexes refer to. */
    public List<Member> members() {
        return mMembers;
    }

    /** Tells which members can be in a slot's list after a change. */
    private record Reuse(HomeTable old, short[] newIndexOfOld, short[] added, int depth) {
        static Reuse of(HomeTable old, List<Member> members, int depth) {
            Map<Member, Short> index = new HashMap<>();
            for (int i = 0; i < members.size(); i++) {
                index.put(members.get(i), (short) i);
            }
            short[] map = new short[old.mMembers.size()];
            for (int i = 0; i < map.length; i++) {
                Short now = index.remove(old.mMembers.get(i));
                map[i] = now == null ? -1 : now;
            }
            List<Short> rest = new ArrayList<>(index.values());
            short[] added = new short[rest.size()];
            for (int i = 0; i < added.length; i++) {
                added[i] = rest.get(i);
            }
            return new Reuse(old, map, added, depth);
        }

        /** A slot that lost nobody needs only its old list and the newcomers. */
        short[] contenders(int slot, short[] all) {
            if (old.mDepth != depth) {
                return all;
            }
            short[] c = new short[depth + added.length];
            for (int i = 0; i < depth; i++) {
                short now = newIndexOfOld[old.mSlots[slot * depth + i]];
                if (now < 0) {
                    return all;
                }
                c[i] = now;
            }
            System.arraycopy(added, 0, c, depth, added.length);
            return c;
        }
    }
}
