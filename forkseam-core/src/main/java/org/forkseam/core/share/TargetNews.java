package org.forkseam.core.share;

import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTimestamp;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds what a newer list of targets changed in an older one, or a step of that.
 *
 * <p>Each entry is a fact of the newer list, so that it may be taken into any list that is older
 * than the newer one; the fingerprint tells after the last step whether the newer list came of it.
 * Who has missed something finds another fingerprint and reads the list. Were a change bound to the
 * list it was made from, a router that has read for itself a moment later could follow none of the
 * next ones while targets come and go: at 298 routers and 2,998 targets each read some 27 lists of
 * 0.75 MB within 53 seconds.
 *
 * @param readAt the store's steady clock when the newer list was read, milliseconds
 * @param position of the newer list in the store's history
 * @param after fingerprint of the newer list
 * @param more steps of the same change that follow
 * @param changed entries that are new or differ
 * @param removed ids of entries that are missing
 * @since 0.4
 */
public record TargetNews(
        long readAt,
        StorePosition position,
        long after,
        int more,
        List<TargetEntry> changed,
        List<String> removed) {

    /**
     * Holds a list and its fingerprint.
     *
     * @param entries the list
     * @param fingerprint its {@link #fingerprint}
     */
    public record Listed(List<TargetEntry> entries, long fingerprint) {
        /** Returns a list with its fingerprint. */
        public static Listed of(List<TargetEntry> entries) {
            return new Listed(entries, TargetNews.fingerprint(entries));
        }
    }

    /** Returns what a newer list changed. */
    public static TargetNews between(
            List<TargetEntry> older, Listed newer, long readAt, StorePosition position) {
        Map<String, TargetEntry> known = new HashMap<>();
        older.forEach(e -> known.put(e.id(), e));
        List<TargetEntry> changed = new ArrayList<>();
        for (TargetEntry e : newer.entries()) {
            TargetEntry old = known.remove(e.id());
            if (old == null || old.fingerprint() != e.fingerprint()) {
                changed.add(e);
            }
        }
        return new TargetNews(
                readAt,
                position,
                newer.fingerprint(),
                0,
                List.copyOf(changed),
                List.copyOf(known.keySet()));
    }

    /** Returns when the newer list was read. */
    public StoreTimestamp readTime() {
        return StoreTimestamp.of(position.era(), readAt);
    }

    /** Returns a hash of a list, whatever its order. */
    public static long fingerprint(List<TargetEntry> entries) {
        long sum = 0;
        for (TargetEntry e : entries) {
            sum += part(e); // a sum, since the order says nothing
        }
        return sum;
    }

    /** Returns what an entry adds to the fingerprint of a list; one to count it. */
    private static long part(TargetEntry e) {
        return e.fingerprint() + 1;
    }

    /** Returns whether nothing has changed. */
    public boolean isEmpty() {
        return changed.isEmpty() && removed.isEmpty();
    }

    /**
     * Returns the same change in steps: a message takes some dozen entries.
     *
     * @param most entries and ids in a step
     */
    public List<TargetNews> inSteps(int most) {
        List<TargetNews> steps = new ArrayList<>();
        int left = steps(changed.size(), most) + steps(removed.size(), most);
        for (int i = 0; i < changed.size(); i += most) {
            List<TargetEntry> some = changed.subList(i, Math.min(changed.size(), i + most));
            steps.add(new TargetNews(readAt, position, after, --left, some, List.of()));
        }
        for (int i = 0; i < removed.size(); i += most) {
            List<String> some = removed.subList(i, Math.min(removed.size(), i + most));
            steps.add(new TargetNews(readAt, position, after, --left, List.of(), some));
        }
        return steps;
    }

    private static int steps(int parts, int most) {
        return (parts + most - 1) / most;
    }

    /** Returns an older list with this change, or step of one, taken in. */
    public Listed applyTo(Listed older) {
        Set<String> replaced = new HashSet<>(removed);
        changed.forEach(e -> replaced.add(e.id()));
        List<TargetEntry> newer = new ArrayList<>(older.entries().size() + changed.size());
        long sum = older.fingerprint();
        for (TargetEntry e : older.entries()) {
            if (replaced.contains(e.id())) {
                sum -= part(e);
            } else {
                newer.add(e);
            }
        }
        for (TargetEntry e : changed) {
            sum += part(e);
            newer.add(e);
        }
        return new Listed(newer, sum);
    }

    /** Returns whether a list, with this taken in, lacks nothing that it should hold by now. */
    public boolean isRight(Listed applied) {
        return more > 0 || applied.fingerprint() == after;
    }
}
