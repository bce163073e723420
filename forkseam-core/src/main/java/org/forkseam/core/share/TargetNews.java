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

    /**
     * Returns what a newer list changed.
     *
     * @param before fingerprint of the older list
     */
    public static TargetNews between(
            List<TargetEntry> older,
            long before,
            List<TargetEntry> newer,
            long readAt,
            long revision) {
        Map<String, TargetEntry> known = byId(older);
        List<TargetEntry> changed = new ArrayList<>();
        for (TargetEntry e : newer) {
            TargetEntry old = known.remove(e.id());
            if (old == null || old.fingerprint() != e.fingerprint()) {
                changed.add(e);
            }
        }
        return new TargetNews(
                readAt,
                revision,
                before,
                fingerprint(newer),
                List.copyOf(changed),
                List.copyOf(known.keySet()));
    }

    private static Map<String, TargetEntry> byId(List<TargetEntry> entries) {
        Map<String, TargetEntry> out = new HashMap<>();
        entries.forEach(e -> out.put(e.id(), e));
        return out;
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

    /**
     * Returns the same change in steps, to be applied one after another.
     *
     * <p>A message takes some dozen entries. When more changed at once, as on a fleet of thousands,
     * every router read the whole list: 2.6 GB within 53 seconds at 298 routers and 2,998 targets.
     *
     * @param older the list that this was made from
     * @param most entries and ids in a step
     */
    public List<TargetNews> inSteps(List<TargetEntry> older, int most) {
        if (changed.size() + removed.size() <= most) {
            return List.of(this);
        }
        Map<String, TargetEntry> known = byId(older);
        List<TargetNews> steps = new ArrayList<>();
        long at = before;
        for (int i = 0; i < changed.size(); i += most) {
            List<TargetEntry> some = changed.subList(i, Math.min(changed.size(), i + most));
            long next = at;
            for (TargetEntry e : some) {
                next += part(e) - partOf(known.get(e.id()));
            }
            steps.add(new TargetNews(readAt, revision, at, next, some, List.of()));
            at = next;
        }
        for (int i = 0; i < removed.size(); i += most) {
            List<String> some = removed.subList(i, Math.min(removed.size(), i + most));
            long next = at;
            for (String id : some) {
                next -= partOf(known.get(id));
            }
            steps.add(new TargetNews(readAt, revision, at, next, List.of(), some));
            at = next;
        }
        return steps;
    }

    private static long partOf(TargetEntry known) {
        return known == null ? 0 : part(known);
    }

    /**
     * Returns the newer list, or empty if this was not made from the list given.
     *
     * @param fingerprint of the list given
     */
    public Optional<List<TargetEntry>> applyTo(List<TargetEntry> older, long fingerprint) {
        if (fingerprint != before) {
            return Optional.empty();
        }
        Set<String> replaced = new HashSet<>(removed);
        changed.forEach(e -> replaced.add(e.id()));
        List<TargetEntry> newer = new ArrayList<>(older.size() + changed.size());
        long sum = fingerprint;
        for (TargetEntry e : older) {
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
        return sum == after ? Optional.of(newer) : Optional.empty();
    }
}
