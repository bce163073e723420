package org.forkseam.core.crash;

import org.forkseam.core.util.BoundedMap;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Crashes and answers by fingerprint, for fingerprints of one kind. The least recently used ones
 * are evicted. Not thread-safe.
 */
final class SuspectTable {
    /**
     * Maximum number of suspects, about 250 bytes each: the requests of 64 targets that crashed at
     * full load.
     */
    private static final int MAX_SUSPECTS = 4_096;

    /**
     * Maximum number of answered fingerprints, about 100 bytes each: those of a busy router in one
     * minute.
     */
    private static final int MAX_ANSWERED = 2_048;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final int mMaxCrashes;
    private final long mAnsweredTtlMillis;
    private final Map<Long, Set<Integer>> mCrashes = BoundedMap.byAccess(MAX_SUSPECTS);
    private final Map<Long, Answer> mAnswered = BoundedMap.byAccess(MAX_ANSWERED);

    /**
     * Last answer.
     *
     * @param at time of the last answer or report of one
     * @param seenAt time of the last answer that this router received itself
     */
    private record Answer(long at, long seenAt) {}

    /**
     * Creates an empty table.
     *
     * @param maxCrashes number of crashes kept of each fingerprint
     * @param answeredTtlMillis time for which an answer prevents suspicion
     */
    SuspectTable(int maxCrashes, long answeredTtlMillis) {
        mMaxCrashes = maxCrashes;
        mAnsweredTtlMillis = answeredTtlMillis;
    }

    /** Records a crash; returns whether it was new and relevant. */
    boolean onCrash(long fingerprint, int crashId, long now) {
        if (wasAnswered(fingerprint, now)) {
            return false;
        }
        Set<Integer> crashes = mCrashes.computeIfAbsent(fingerprint, f -> new HashSet<>());
        return crashes.size() < mMaxCrashes && crashes.add(crashId);
    }

    /** Records an answer; returns whether it ended a suspicion. */
    boolean onAnswered(long fingerprint, boolean seenHere, long now) {
        mAnswered.merge(
                fingerprint,
                new Answer(now, seenHere ? now : NEVER),
                (a, b) -> new Answer(b.at(), Math.max(a.seenAt(), b.seenAt())));
        return mCrashes.remove(fingerprint) != null;
    }

    boolean wasAnswered(long fingerprint, long now) {
        return wasAnswered(fingerprint, mAnsweredTtlMillis, now);
    }

    boolean wasAnswered(long fingerprint, long withinMillis, long now) {
        Answer a = mAnswered.get(fingerprint);
        return a != null && now - a.at() < withinMillis;
    }

    boolean hasSeenAnswer(long fingerprint, long now) {
        Answer a = mAnswered.get(fingerprint);
        return a != null && now - a.seenAt() < mAnsweredTtlMillis;
    }

    Set<Integer> crashes(long fingerprint) {
        Set<Integer> crashes = mCrashes.get(fingerprint);
        return crashes == null ? Set.of() : crashes;
    }

    /** Returns the fingerprints with at least this many of the given crashes. */
    List<Long> withCrashesIn(Set<Integer> crashes, int min) {
        List<Long> found = new ArrayList<>();
        for (Map.Entry<Long, Set<Integer>> e : mCrashes.entrySet()) {
            if (e.getValue().stream().filter(crashes::contains).count() >= min) {
                found.add(e.getKey());
            }
        }
        return found;
    }

    void forget(long fingerprint) {
        mCrashes.remove(fingerprint);
    }

    int size() {
        return mCrashes.size();
    }
}
