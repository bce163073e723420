package org.forkseam.core.crash;

import org.forkseam.core.util.BoundedMap;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    private final int mSameCrashTolerance;
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
     * @param sameCrashTolerance difference up to which two crash ids mean the same crash
     * @param answeredTtlMillis time for which an answer prevents suspicion
     */
    SuspectTable(int maxCrashes, int sameCrashTolerance, long answeredTtlMillis) {
        mMaxCrashes = maxCrashes;
        mSameCrashTolerance = sameCrashTolerance;
        mAnsweredTtlMillis = answeredTtlMillis;
    }

    /** Records a crash; returns whether it was new and relevant. */
    boolean onCrash(long fingerprint, int crashId, long now) {
        if (wasAnswered(fingerprint, now)) {
            return false;
        }
        Set<Integer> crashes = mCrashes.computeIfAbsent(fingerprint, f -> new HashSet<>());
        return crashes.size() < mMaxCrashes && !includes(crashes, crashId) && crashes.add(crashId);
    }

    private boolean includes(Set<Integer> crashes, int crashId) {
        for (int c : crashes) {
            int ahead = c - crashId; // wraps around like the ids
            if (ahead <= mSameCrashTolerance && ahead >= -mSameCrashTolerance) {
                return true;
            }
        }
        return false;
    }

    /** Records an answer that this router received; returns whether it ended a suspicion. */
    boolean onAnswered(long fingerprint, long now) {
        return onAnswered(fingerprint, new Answer(now, now));
    }

    /**
     * Records an answer that another router received, unless it is older than the TTL.
     *
     * @param at time of the answer
     * @return whether it ended a suspicion
     */
    boolean onAnsweredElsewhere(long fingerprint, long at, long now) {
        return now - at < mAnsweredTtlMillis && onAnswered(fingerprint, new Answer(at, NEVER));
    }

    private boolean onAnswered(long fingerprint, Answer answer) {
        mAnswered.merge(
                fingerprint,
                answer,
                (a, b) -> new Answer(Math.max(a.at(), b.at()), Math.max(a.seenAt(), b.seenAt())));
        return mCrashes.remove(fingerprint) != null;
    }

    private boolean wasAnswered(long fingerprint, long now) {
        return wasAnswered(fingerprint, mAnsweredTtlMillis, now);
    }

    boolean wasAnswered(long fingerprint, long withinMillis, long now) {
        Answer a = mAnswered.get(fingerprint);
        return a != null && now - a.at() < withinMillis;
    }

    /** Returns the age of the last answer; empty if there was none recently. */
    Optional<Long> answerAgeMillis(long fingerprint, long now) {
        return wasAnswered(fingerprint, now)
                ? Optional.of(now - mAnswered.get(fingerprint).at())
                : Optional.empty();
    }

    boolean hasSeenAnswer(long fingerprint, long now) {
        Answer a = mAnswered.get(fingerprint);
        return a != null && now - a.seenAt() < mAnsweredTtlMillis;
    }

    Set<Integer> crashes(long fingerprint) {
        Set<Integer> crashes = mCrashes.get(fingerprint);
        return crashes == null ? Set.of() : crashes;
    }

    /** Returns the fingerprints with at least this many of the crashes of another. */
    List<Long> withCrashesOf(long other, int min) {
        Set<Integer> crashes = crashes(other);
        List<Long> found = new ArrayList<>();
        for (Map.Entry<Long, Set<Integer>> e : mCrashes.entrySet()) {
            long common = e.getValue().stream().filter(c -> includes(crashes, c)).count();
            if (e.getKey() != other && common >= min) {
                found.add(e.getKey());
            }
        }
        return found;
    }

    /** Returns the number of crashes without those of the given other fingerprints. */
    int countWithout(long fingerprint, Iterable<Long> others) {
        Set<Integer> crashes = new HashSet<>(crashes(fingerprint));
        for (long other : others) {
            if (other != fingerprint) {
                crashes.removeIf(c -> includes(crashes(other), c));
            }
        }
        return crashes.size();
    }

    void forget(long fingerprint) {
        mCrashes.remove(fingerprint);
    }

    int size() {
        return mCrashes.size();
    }
}
