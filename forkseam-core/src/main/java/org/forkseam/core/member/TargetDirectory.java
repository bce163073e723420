package org.forkseam.core.member;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.BoundedMap;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks the targets known to a router from the newest list that it has read.
 *
 * <p>A target missing from a list is removed, unless the store was recently unavailable: entries
 * expire during an outage although their targets are alive, and are registered again soon after.
 * After a restore from a backup the store may lack entries for as long, and may contain stale rows
 * of ended targets; the state known of an incarnation before the restore is retained.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetDirectory {
    /** Time after an outage within which live targets are registered again. */
    private static final long REREGISTRATION_MILLIS = 2_100;

    /** Shortest outage in which entries can expire; they expire after three missed heartbeats. */
    private static final long MIN_OUTAGE_MILLIS = 2_000;

    /** Time for which a target that was removed without notice may still serve requests. */
    private static final long TERMINATION_GRACE_MILLIS = 2_000;

    /**
     * Unlisted targets remembered, so that their state can be reused when they are listed again.
     */
    private static final int MAX_UNLISTED = 2_048;

    /** Incarnations reported as leaving before they were listed. */
    private static final int MAX_REPORTED_LEAVING = 256;

    /** Time after a restore until stale rows have expired (three missed heartbeats). */
    private static final long STALE_ROW_MILLIS = 5_000;

    private final Map<String, Target> mById = new HashMap<>();
    private final Map<String, List<Target>> mByPool = new HashMap<>();
    private final Map<Integer, Target> mByShortHash = new HashMap<>();
    private final BoundedMap<String, Unlisted> mUnlisted = BoundedMap.byInsertion(MAX_UNLISTED);
    private final BoundedMap<Integer, Boolean> mReportedLeaving =
            BoundedMap.byInsertion(MAX_REPORTED_LEAVING);
    private final BoundedMap<TargetIncarnation, Integer> mEndedInEra =
            BoundedMap.byInsertion(MAX_UNLISTED);
    private Set<String> mEvacuatedDomains = Set.of();
    private boolean mRetainsUnlisted;
    private StorePosition mPosition = StorePosition.NONE;
    private long mRetainUnlistedUntil = Long.MIN_VALUE;
    private boolean mIgnoresStaleRows;
    private long mIgnoreStaleRowsUntil = Long.MIN_VALUE;

    private TargetDirectory() {}

    /** Creates an empty directory. */
    public static TargetDirectory create() {
        return new TargetDirectory();
    }

    /** Handles recovery of the store from an outage of the given length. */
    public void onSourceRecovered(long nowMillis, long outageMillis) {
        if (outageMillis >= MIN_OUTAGE_MILLIS) {
            mRetainUnlistedUntil = nowMillis + REREGISTRATION_MILLIS;
        }
    }

    /** Sets the evacuated failure domains. Their targets remain in their pools. */
    public void setEvacuatedDomains(Set<String> domains, long nowMillis) {
        mEvacuatedDomains = domains;
        mById.values().forEach(t -> updateEvacuated(t, nowMillis));
    }

    private void updateEvacuated(Target t, long nowMillis) {
        t.setEvacuated(mEvacuatedDomains.contains(t.entry().domain()), nowMillis);
    }

    /**
     * Applies a target list and returns the changes. Older lists than the current one are ignored.
     *
     * @param position store position of the list
     */
    public List<TargetChange> apply(
            StorePosition position, Collection<TargetEntry> entries, long nowMillis) {
        if (position.isBefore(mPosition)) {
            return List.of();
        }
        if (position.isRestoreSince(mPosition)) {
            onSourceRestored(nowMillis);
        }
        mPosition = position;
        mIgnoresStaleRows = false;
        List<TargetChange> changes = new ArrayList<>();
        Map<String, TargetEntry> listed = new HashMap<>();
        for (TargetEntry e : entries) {
            if (isStaleRow(e.incarnation(), nowMillis)) {
                mIgnoresStaleRows = true;
                continue;
            }
            listed.put(e.id(), e);
            applyEntry(e, nowMillis).ifPresent(changes::add);
        }
        if (nowMillis >= mRetainUnlistedUntil) {
            removeUnlisted(listed, changes, nowMillis);
        }
        mRetainsUnlisted = mById.size() > listed.size();
        rebuildIndexes();
        return changes;
    }

    /** Retains missing targets and ignores stale rows until owners have rewritten their rows. */
    private void onSourceRestored(long nowMillis) {
        mRetainUnlistedUntil = nowMillis + REREGISTRATION_MILLIS;
        mIgnoreStaleRowsUntil = nowMillis + STALE_ROW_MILLIS;
        mById.values().forEach(Target::onStoreRestored);
        mUnlisted.values().forEach(unlisted -> unlisted.target().onStoreRestored());
    }

    /** Returns whether targets are retained that the newest list lacks. */
    public boolean retainsUnlisted() {
        return mRetainsUnlisted;
    }

    /** Returns the time until which unlisted targets are retained. */
    public long retainUnlistedUntil() {
        return mRetainUnlistedUntil;
    }

    /** Returns whether the newest list contains stale rows that are ignored. */
    public boolean ignoresStaleRows() {
        return mIgnoresStaleRows;
    }

    /** Returns the time until which stale rows are ignored. */
    public long ignoreStaleRowsUntil() {
        return mIgnoreStaleRowsUntil;
    }

    /** Returns whether a row belongs to an incarnation that ended before the restore. */
    private boolean isStaleRow(TargetIncarnation start, long nowMillis) {
        Integer era = mEndedInEra.get(start);
        return nowMillis < mIgnoreStaleRowsUntil && era != null && era < mPosition.era();
    }

    private void recordEnded(Target t) {
        mEndedInEra.put(t.incarnation(), mPosition.era());
    }

    private Optional<TargetChange> applyEntry(TargetEntry e, long nowMillis) {
        Target known = mById.get(e.id());
        if (known == null || !known.incarnation().equals(e.incarnation())) {
            return Optional.of(add(e, known, nowMillis));
        }
        boolean startsLeaving = e.leaving() && !known.entry().leaving();
        known.update(e, nowMillis);
        updateEvacuated(known, nowMillis);
        return startsLeaving
                ? Optional.of(new TargetChange(e, TargetChange.Kind.LEAVING))
                : Optional.empty();
    }

    /**
     * Adds a target that is new, restarted or listed again. A new incarnation starts without state;
     * a known incarnation whose row had expired keeps its state.
     */
    private TargetChange add(TargetEntry e, Target previous, long nowMillis) {
        Unlisted unlisted = mUnlisted.remove(e.id());
        boolean known = unlisted != null && unlisted.target().incarnation().equals(e.incarnation());
        Target added = known ? unlisted.target() : Target.of(e, nowMillis);
        if (known) {
            added.onListedAgain(e, nowMillis);
        }
        if (mReportedLeaving.remove(added.shortHash()) != null) {
            added.onLeavingAnnounced();
        }
        updateEvacuated(added, nowMillis);
        mById.put(e.id(), added);
        mEndedInEra.remove(e.incarnation());
        if (previous != null) {
            recordEnded(previous);
            previous.onUnlisted(); // requests waiting for a connection to it are rescheduled
        }
        boolean restarted = previous != null || unlisted != null && !known;
        return new TargetChange(
                e, restarted ? TargetChange.Kind.RESTARTED : TargetChange.Kind.JOINED);
    }

    private void removeUnlisted(
            Map<String, TargetEntry> listed, List<TargetChange> changes, long nowMillis) {
        for (Target t : List.copyOf(mById.values())) {
            if (listed.containsKey(t.entry().id())) {
                continue;
            }
            t.onUnlisted();
            recordEnded(t);
            mUnlisted.put(t.entry().id(), new Unlisted(t, nowMillis));
            mById.remove(t.entry().id());
            changes.add(new TargetChange(t.entry(), TargetChange.Kind.GONE));
        }
    }

    /**
     * Handles a report of another router that an incarnation is leaving. Reports of unlisted
     * incarnations are remembered.
     *
     * @return the target, if its leaving was unknown
     */
    public Optional<Target> onLeavingReported(int shortHash) {
        Target t = mByShortHash.get(shortHash);
        if (t == null) {
            mReportedLeaving.put(shortHash, true);
            return Optional.empty();
        }
        return t.onLeavingAnnounced() ? Optional.of(t) : Optional.empty();
    }

    private void rebuildIndexes() {
        mByPool.clear();
        mByShortHash.clear();
        for (Target t : mById.values()) {
            mByShortHash.put(t.shortHash(), t);
            mByPool.computeIfAbsent(t.entry().pool(), p -> new ArrayList<>()).add(t);
        }
    }

    /** Returns the targets of a pool, including leaving ones. */
    public List<Target> pool(String name) {
        return mByPool.getOrDefault(name, List.of());
    }

    /** Returns all targets. */
    public Collection<Target> all() {
        return mById.values();
    }

    /** Finds a target by the hash of its current incarnation. */
    public Optional<Target> findByShortHash(int hash) {
        return Optional.ofNullable(mByShortHash.get(hash));
    }

    /** Finds a target by id. */
    public Optional<Target> find(String id) {
        return Optional.ofNullable(mById.get(id));
    }

    /**
     * Finds a target that can still be reached by other targets: a listed one, or one that was
     * recently removed without announcing that it is leaving and still sends data.
     */
    public Optional<Target> findReachable(String id, long nowMillis) {
        Target listed = mById.get(id);
        if (listed != null) {
            return Optional.of(listed);
        }
        Unlisted unlisted = mUnlisted.get(id);
        if (unlisted == null || nowMillis - unlisted.since() >= TERMINATION_GRACE_MILLIS) {
            return Optional.empty();
        }
        Target t = unlisted.target();
        boolean answers = t.hasSentDataWithin(TERMINATION_GRACE_MILLIS, nowMillis);
        return answers && !t.availability().isLeaving() ? Optional.of(t) : Optional.empty();
    }

    /** Finds the given incarnation of a target if other targets can still reach it. */
    public Optional<Target> findReachable(TargetIncarnation start, long nowMillis) {
        return findReachable(start.id(), nowMillis).filter(t -> t.incarnation().equals(start));
    }

    /** Returns the store position of the newest list. */
    public StorePosition position() {
        return mPosition;
    }

    /** Target that is no longer listed, with the time of its removal. */
    private record Unlisted(Target target, long since) {}
}
