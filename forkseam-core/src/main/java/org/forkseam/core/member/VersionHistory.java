package org.forkseam.core.member;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tracks the software versions that each pool's targets have had recently.
 *
 * <p>A stream of unknown origin can only be continued safely if its pool has had a single version
 * for as long as streams last. Such a conclusion must also hold on a router whose list is slightly
 * outdated, and on one that has just started. Streams therefore begin at a version only once it has
 * been on record in the store for so long that every router has either read a list with it or
 * treats its own list as outdated.
 *
 * <p>Not thread-safe.
 *
 * @since 0.7
 */
public final class VersionHistory {
    /** Upper bound on the time from the start of a stream to its last resumption. */
    public static final long STREAM_LIFETIME_MILLIS = 30_000;

    /** Ratio of the age at which a list counts as outdated to the interval of its reads. */
    private static final double OUTDATED_INTERVALS = 1.5;

    /** Allowance for the duration of a read, added to that age. */
    private static final long READ_MARGIN_MILLIS = 500;

    /** Allowance for the estimate of another router's read time. */
    private static final long CLOCK_MARGIN_MILLIS = 500;

    private static final Recorded NOT_RECORDED = new Recorded(Map.of(), Long.MAX_VALUE);

    /** When each version was last listed, by pool and version. */
    private final Map<String, Map<Long, Long>> mListedAt = new HashMap<>();

    /** When this router first listed each version, by pool and version. */
    private final Map<String, Map<Long, Long>> mFirstListedAt = new HashMap<>();

    private final Map<String, Recorded> mRecorded = new HashMap<>();
    private long mOutdatedMillis;
    private long mListCurrentAt = Long.MIN_VALUE / 2;
    private long mListedSince;
    private long mRecordsCurrentAt = Long.MIN_VALUE / 2;

    /**
     * Record of a pool in the store, with local times.
     *
     * @param recordedAt when each version was recorded
     * @param completeSince time since which the record is complete
     */
    private record Recorded(Map<Long, Long> recordedAt, long completeSince) {}

    private VersionHistory(long readIntervalMillis) {
        setReadInterval(readIntervalMillis);
    }

    /**
     * Creates an empty history.
     *
     * @param readIntervalMillis interval of the reads of the target list, in milliseconds
     */
    public static VersionHistory of(long readIntervalMillis) {
        return new VersionHistory(readIntervalMillis);
    }

    /** Sets the interval of the reads of the target list, in milliseconds. */
    public void setReadInterval(long millis) {
        mOutdatedMillis = (long) (OUTDATED_INTERVALS * millis) + READ_MARGIN_MILLIS;
    }

    /** Returns the time for which a version is on record before streams begin at it. */
    public long openingDelayMillis() {
        return mOutdatedMillis + CLOCK_MARGIN_MILLIS;
    }

    // ---------------------------------------------------------------- updates

    /**
     * Applies the known targets.
     *
     * @param currentAtMillis a time at which the store certainly had no newer list
     */
    public void onTargets(Collection<Target> targets, long currentAtMillis, long nowMillis) {
        if (currentAtMillis - mListCurrentAt > mOutdatedMillis) {
            // Versions may have come and gone in between, and known ones been listed until now.
            mListedSince = currentAtMillis;
            mListedAt.values().forEach(known -> known.replaceAll((v, at) -> nowMillis));
        }
        mListCurrentAt = Math.max(mListCurrentAt, currentAtMillis);
        for (Target t : targets) {
            Map<Long, Long> known = mListedAt.get(t.entry().pool());
            if (known == null) {
                known = new HashMap<>();
                mListedAt.put(t.entry().pool(), known);
                addRecorded(t.entry().pool(), nowMillis);
            }
            known.put(t.softwareKey(), nowMillis);
            mFirstListedAt
                    .computeIfAbsent(t.entry().pool(), p -> new HashMap<>())
                    .putIfAbsent(t.softwareKey(), nowMillis);
        }
        long oldest = nowMillis - STREAM_LIFETIME_MILLIS;
        mListedAt.values().forEach(known -> known.values().removeIf(at -> at < oldest));
        mListedAt.values().removeIf(Map::isEmpty);
        mFirstListedAt.forEach((pool, first) -> first.keySet().retainAll(versions(pool)));
        mFirstListedAt.values().removeIf(Map::isEmpty);
    }

    /**
     * Applies the record of a pool.
     *
     * @param recordedAtMillis local time at which each version was recorded
     * @param completeSinceMillis local time since which it is complete; {@link Long#MAX_VALUE} if
     *     it may lack versions
     */
    public void onRecord(
            String pool,
            Map<Long, Long> recordedAtMillis,
            long completeSinceMillis,
            long nowMillis) {
        mRecorded.put(pool, new Recorded(Map.copyOf(recordedAtMillis), completeSinceMillis));
        addRecorded(pool, nowMillis);
    }

    /** Adds recorded versions, which may have been listed until now and still have streams. */
    private void addRecorded(String pool, long now) {
        Map<Long, Long> known = mListedAt.get(pool);
        if (known != null) {
            recorded(pool).recordedAt().keySet().forEach(v -> known.putIfAbsent(v, now));
        }
    }

    /** Records that all records were known as the store had them at this time. */
    public void onRecordsCurrent(long currentAtMillis) {
        mRecordsCurrentAt = Math.max(mRecordsCurrentAt, currentAtMillis);
    }

    // ---------------------------------------------------------------- queries

    private Recorded recorded(String pool) {
        return mRecorded.getOrDefault(pool, NOT_RECORDED);
    }

    /** Returns the pools with known versions. */
    public Set<String> pools() {
        return Set.copyOf(mListedAt.keySet());
    }

    /** Returns the versions at which streams of the pool may have begun that can be resumed. */
    public Set<Long> versions(String pool) {
        return Set.copyOf(mListedAt.getOrDefault(pool, Map.of()).keySet());
    }

    /** Returns the local time since which the versions of a pool are known without a gap. */
    public long completeSince(String pool) {
        boolean isConnected = mRecordsCurrentAt >= mListedSince;
        return isConnected ? Math.min(mListedSince, recorded(pool).completeSince()) : mListedSince;
    }

    private boolean isComplete(String pool, long now) {
        return now - completeSince(pool) >= STREAM_LIFETIME_MILLIS;
    }

    /**
     * Returns whether the record of a pool lacks a version, or has one whose streams have all
     * ended.
     */
    public boolean isRecordOutdated(String pool, long nowMillis) {
        Set<Long> known = versions(pool);
        Set<Long> onRecord = recorded(pool).recordedAt().keySet();
        return !onRecord.containsAll(known)
                || isComplete(pool, nowMillis) && !known.containsAll(onRecord);
    }

    /** Returns the record that a pool should have: the local time of each version's recording. */
    public Map<Long, Long> nextRecord(String pool, long nowMillis) {
        Map<Long, Long> next = new HashMap<>();
        versions(pool)
                .forEach(v -> next.put(v, recorded(pool).recordedAt().getOrDefault(v, nowMillis)));
        return next;
    }

    /**
     * Returns the software of every stream of the pool that can still be resumed, if there is
     * certainly only one.
     */
    public OptionalLong soleVersion(String pool, long nowMillis) {
        boolean isOutdated = nowMillis - mListCurrentAt > mOutdatedMillis;
        if (isOutdated || !isComplete(pool, nowMillis)) {
            return OptionalLong.empty();
        }
        Set<Long> versions = mListedAt.getOrDefault(pool, Map.of()).keySet();
        return versions.size() == 1
                ? OptionalLong.of(versions.iterator().next())
                : OptionalLong.empty();
    }

    /**
     * Returns the time until streams may begin at an unopened version of which no other version of
     * the pool can take them; 0 if they may. A router that does not know the version yet could
     * otherwise continue them at an earlier one, unless there was none. A version that is not on
     * record, as while the store is away, counts from when this router first listed it.
     */
    public long millisToFallback(String pool, long softwareKey, long nowMillis) {
        if (versions(pool).equals(Set.of(softwareKey))) {
            return 0;
        }
        long listedAt =
                mFirstListedAt.getOrDefault(pool, Map.of()).getOrDefault(softwareKey, nowMillis);
        return Math.max(0, listedAt + openingDelayMillis() - nowMillis);
    }

    /** Returns the versions of the pool at which no streams may begin yet. */
    public Set<Long> unopenedVersions(String pool, long nowMillis) {
        Map<Long, Long> recordedAt = recorded(pool).recordedAt();
        Set<Long> unopened = new HashSet<>();
        for (long version : mListedAt.getOrDefault(pool, Map.of()).keySet()) {
            Long at = recordedAt.get(version);
            if (at == null || nowMillis - at < openingDelayMillis()) {
                unopened.add(version);
            }
        }
        return unopened;
    }
}
