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
 * outdated. A version that is new to a pool therefore gets no streams until every router has either
 * read a list with it or treats its own list as outdated.
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

    private final Map<String, Map<Long, Listing>> mByPool = new HashMap<>();
    private long mOutdatedMillis;
    private long mCurrentAt = Long.MIN_VALUE / 2;
    private long mCompleteSince;

    /**
     * Times of a version in a pool.
     *
     * @param opensAt when streams may begin at it
     * @param listedAt when it was last listed
     */
    private record Listing(long opensAt, long listedAt) {
        Listing withListedAt(long millis) {
            return new Listing(opensAt, millis);
        }
    }

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

    /** Returns the time for which a version that is new to a pool gets no streams. */
    public long openingDelayMillis() {
        return mOutdatedMillis + CLOCK_MARGIN_MILLIS;
    }

    /**
     * Applies the known targets.
     *
     * @param currentAtMillis a time at which the store certainly had no newer list
     */
    public void onTargets(Collection<Target> targets, long currentAtMillis, long nowMillis) {
        if (currentAtMillis - mCurrentAt > mOutdatedMillis) {
            mCompleteSince = currentAtMillis; // versions may have come and gone in between
        }
        mCurrentAt = Math.max(mCurrentAt, currentAtMillis);
        Map<String, Map<Long, Integer>> countsByPool = new HashMap<>();
        for (Target t : targets) {
            countsByPool
                    .computeIfAbsent(t.entry().pool(), p -> new HashMap<>())
                    .merge(t.softwareKey(), 1, Integer::sum);
        }
        countsByPool.forEach((pool, counts) -> onVersions(pool, counts, nowMillis));
        forgetUnlisted(nowMillis);
    }

    private void onVersions(String pool, Map<Long, Integer> counts, long now) {
        Map<Long, Listing> known = mByPool.computeIfAbsent(pool, p -> new HashMap<>());
        // In a pool that is new to this router, streams begin at the most common version.
        long first = known.isEmpty() ? mostCommon(counts) : 0;
        boolean isNewPool = known.isEmpty();
        for (long version : counts.keySet()) {
            Listing l = known.get(version);
            long delay = isNewPool && version == first ? 0 : openingDelayMillis();
            known.put(version, l == null ? new Listing(now + delay, now) : l.withListedAt(now));
        }
    }

    private static long mostCommon(Map<Long, Integer> counts) {
        return counts.entrySet().stream()
                .max(Map.Entry.<Long, Integer>comparingByValue().thenComparing(Map.Entry::getKey))
                .orElseThrow()
                .getKey();
    }

    private void forgetUnlisted(long now) {
        long oldest = now - STREAM_LIFETIME_MILLIS;
        mByPool.values().forEach(known -> known.values().removeIf(l -> l.listedAt() < oldest));
        mByPool.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns the software of every stream of the pool that can still be resumed, if there is
     * certainly only one.
     */
    public OptionalLong soleVersion(String pool, long nowMillis) {
        boolean isOutdated = nowMillis - mCurrentAt > mOutdatedMillis;
        if (isOutdated || nowMillis - mCompleteSince < STREAM_LIFETIME_MILLIS) {
            return OptionalLong.empty();
        }
        Set<Long> versions = mByPool.getOrDefault(pool, Map.of()).keySet();
        return versions.size() == 1
                ? OptionalLong.of(versions.iterator().next())
                : OptionalLong.empty();
    }

    /** Returns the versions at which streams of the pool may have begun that can be resumed. */
    public Set<Long> versions(String pool) {
        return Set.copyOf(mByPool.getOrDefault(pool, Map.of()).keySet());
    }

    /** Returns the versions of the pool at which no streams may begin yet. */
    public Set<Long> unopenedVersions(String pool, long nowMillis) {
        Set<Long> unopened = new HashSet<>();
        mByPool.getOrDefault(pool, Map.of())
                .forEach(
                        (version, l) -> {
                            if (nowMillis < l.opensAt()) {
                                unopened.add(version);
                            }
                        });
        return unopened;
    }
}
