package org.forkseam.core.share;

import org.forkseam.core.member.TargetEntry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds what a newer list of targets changed in an older one. It can be applied only to the list
 * that it was made from: whoever holds another has missed something and reads the list.
 *
 * @param readAt the store's steady clock when the newer list was read, milliseconds
 * @param revision of the newer list
 * @param before fingerprint of the older list
 * @param after fingerprint of the newer list
 * @param changed entries that are new or differ
 * @param removed ids of entries that are missing
 * @since 0.4
 */
public record TargetNews(
        long readAt,
        long revision,
        long before,
        long after,
        List<TargetEntry> changed,
        List<String> removed) {

    /** Returns what a newer list changed. */
    public static TargetNews between(
            List<TargetEntry> older, List<TargetEntry> newer, long readAt, long revision) {
        Map<String, TargetEntry> known = new HashMap<>();
        older.forEach(e -> known.put(e.id(), e));
        List<TargetEntry> changed = new ArrayList<>();
        for (TargetEntry e : newer) {
            if (!e.equals(known.remove(e.id()))) {
                changed.add(e);
            }
        }
        return new TargetNews(
                readAt,
                revision,
                fingerprint(older),
                fingerprint(newer),
                List.copyOf(changed),
                List.copyOf(known.keySet()));
    }

    /** Returns a hash of a list, whatever its order. */
    public static long fingerprint(List<TargetEntry> entries) {
        long sum = entries.size();
        for (TargetEntry e : entries) {
            sum += e.fingerprint(); // a sum, since the order says nothing
        }
        return sum;
    }

    /** Returns the newer list, or empty if this was not made from the list given. */
    public Optional<List<TargetEntry>> applyTo(List<TargetEntry> older) {
        if (fingerprint(older) != before) {
            return Optional.empty();
        }
        Set<String> replaced = new HashSet<>(removed);
        changed.forEach(e -> replaced.add(e.id()));
        List<TargetEntry> newer = new ArrayList<>(older.size() + changed.size());
        for (TargetEntry e : older) {
            if (!replaced.contains(e.id())) {
                newer.add(e);
            }
        }
        newer.addAll(changed);
        return fingerprint(newer) == after ? Optional.of(newer) : Optional.empty();
    }
}
