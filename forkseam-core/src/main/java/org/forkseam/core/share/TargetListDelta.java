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
 * Holds the difference between two versions of the target list, or one step of it.
 *
 * <p>Entries are those of the newer list, so that a delta may be applied to any older list; after
 * the last step, the fingerprint shows whether the result equals the newer list. A router that
 * missed a delta notices the mismatch and reads the list. Deltas are not bound to the exact list
 * they were made from, so that a router which has read an intermediate list can continue from
 * there. Immutable.
 *
 * @param readAt when the newer list was read, by the store's monotonic clock, in milliseconds
 * @param position position of the newer list in the store's history
 * @param resultFingerprint fingerprint of the newer list
 * @param remainingSteps number of steps of the same delta that follow
 * @param changed entries that are new or differ
 * @param removed ids of entries that were removed
 * @since 0.4
 */
public record TargetListDelta(
        long readAt,
        StorePosition position,
        long resultFingerprint,
        int remainingSteps,
        List<TargetEntry> changed,
        List<String> removed) {

    /**
     * Holds a list with its fingerprint.
     *
     * @param entries the list
     * @param fingerprint its {@link #fingerprint}
     */
    public record Snapshot(List<TargetEntry> entries, long fingerprint) {
        /** Returns a snapshot of a list. */
        public static Snapshot of(List<TargetEntry> entries) {
            return new Snapshot(entries, TargetListDelta.fingerprint(entries));
        }
    }

    /** Returns the difference between an older list and a newer one. */
    public static TargetListDelta between(
            List<TargetEntry> older, Snapshot newer, long readAt, StorePosition position) {
        Map<String, TargetEntry> remaining = new HashMap<>();
        older.forEach(e -> remaining.put(e.id(), e));
        List<TargetEntry> changed = new ArrayList<>();
        for (TargetEntry e : newer.entries()) {
            TargetEntry old = remaining.remove(e.id());
            if (old == null || old.fingerprint() != e.fingerprint()) {
                changed.add(e);
            }
        }
        return new TargetListDelta(
                readAt,
                position,
                newer.fingerprint(),
                0,
                List.copyOf(changed),
                List.copyOf(remaining.keySet()));
    }

    /** Returns when the newer list was read. */
    public StoreTimestamp readTime() {
        return StoreTimestamp.of(position.era(), readAt);
    }

    /** Returns a hash of a list that does not depend on its order. */
    public static long fingerprint(List<TargetEntry> entries) {
        long sum = 0;
        for (TargetEntry e : entries) {
            sum += entryTerm(e);
        }
        return sum;
    }

    /**
     * Returns an entry's term in the fingerprint; the added 1 makes it depend on the number of
     * entries.
     */
    private static long entryTerm(TargetEntry e) {
        return e.fingerprint() + 1;
    }

    /** Returns whether the lists are equal. */
    public boolean isEmpty() {
        return changed.isEmpty() && removed.isEmpty();
    }

    /**
     * Splits the delta into steps that each fit in a message.
     *
     * @param maxPerStep maximum number of entries and ids in a step
     */
    public List<TargetListDelta> split(int maxPerStep) {
        List<TargetListDelta> steps = new ArrayList<>();
        int remainingSteps =
                stepCount(changed.size(), maxPerStep) + stepCount(removed.size(), maxPerStep);
        for (int i = 0; i < changed.size(); i += maxPerStep) {
            List<TargetEntry> part = changed.subList(i, Math.min(changed.size(), i + maxPerStep));
            steps.add(
                    new TargetListDelta(
                            readAt,
                            position,
                            resultFingerprint,
                            --remainingSteps,
                            part,
                            List.of()));
        }
        for (int i = 0; i < removed.size(); i += maxPerStep) {
            List<String> part = removed.subList(i, Math.min(removed.size(), i + maxPerStep));
            steps.add(
                    new TargetListDelta(
                            readAt,
                            position,
                            resultFingerprint,
                            --remainingSteps,
                            List.of(),
                            part));
        }
        return steps;
    }

    private static int stepCount(int count, int maxPerStep) {
        return (count + maxPerStep - 1) / maxPerStep;
    }

    /** Applies this delta or step to an older list. */
    public Snapshot applyTo(Snapshot older) {
        Set<String> replaced = new HashSet<>(removed);
        changed.forEach(e -> replaced.add(e.id()));
        List<TargetEntry> newer = new ArrayList<>(older.entries().size() + changed.size());
        long sum = older.fingerprint();
        for (TargetEntry e : older.entries()) {
            if (replaced.contains(e.id())) {
                sum -= entryTerm(e);
            } else {
                newer.add(e);
            }
        }
        for (TargetEntry e : changed) {
            sum += entryTerm(e);
            newer.add(e);
        }
        return new Snapshot(newer, sum);
    }

    /**
     * Returns whether the result of the last step equals the newer list; always true for earlier
     * steps.
     */
    public boolean isConsistent(Snapshot applied) {
        return remainingSteps > 0 || applied.fingerprint() == resultFingerprint;
    }
}
