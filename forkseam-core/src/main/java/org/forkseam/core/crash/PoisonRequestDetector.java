package org.forkseam.core.crash;

import org.forkseam.core.util.BoundedMap;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects poison requests, i.e. requests that crash the targets serving them.
 *
 * <p>Counts crashes of targets by the content of the requests in flight. Most of these requests are
 * bystanders, which are answered when they are retried; the cause is never answered. A request is
 * considered poison once {@link #CRASH_THRESHOLD} targets have crashed while serving it and none
 * has answered it recently.
 *
 * <p>Memory is bounded; the least recently used entries are evicted. Not thread-safe.
 *
 * @since 0.5
 */
public final class PoisonRequestDetector {
    /** Number of crashes from which a request is refused. Lower values would refuse bystanders. */
    public static final int CRASH_THRESHOLD = 3;

    /**
     * Maximum number of suspects tracked, about 250 bytes each: the requests of 64 targets that
     * crashed at full load.
     */
    private static final int MAX_CONTENTS = 4_096;

    /**
     * Maximum number of answered requests tracked, about 100 bytes each: those of a busy router in
     * one minute.
     */
    private static final int MAX_ANSWERED = 2_048;

    /**
     * Time for which an answered request is not suspected. Keeps frequent requests, which are in
     * flight in every crash, from being suspected, but allows for requests that crash a new version
     * of the targets.
     */
    private static final long ANSWERED_TTL_MILLIS = 10_000;

    private final Map<Long, Set<Integer>> mCrashes = BoundedMap.byAccess(MAX_CONTENTS);
    private final Map<Long, Long> mAnswered = BoundedMap.byAccess(MAX_ANSWERED);

    private PoisonRequestDetector() {}

    /** Creates a detector without suspects. */
    public static PoisonRequestDetector create() {
        return new PoisonRequestDetector();
    }

    /**
     * Records an event seen by this router or reported by another. Duplicate and late events are
     * ignored.
     *
     * @return whether the event changed the state
     */
    public boolean onEvent(CrashEvent event, long nowMillis) {
        if (event.isAnswered()) {
            return onAnswered(event.content(), nowMillis);
        }
        if (wasAnsweredRecently(event.content(), nowMillis)) {
            return false;
        }
        Set<Integer> crashes = mCrashes.computeIfAbsent(event.content(), c -> new HashSet<>());
        return crashes.size() < CRASH_THRESHOLD && crashes.add(event.crashId());
    }

    /** Records that a request was answered; returns whether it was a suspect. */
    public boolean onAnswered(long content, long nowMillis) {
        mAnswered.put(content, nowMillis);
        return mCrashes.remove(content) != null;
    }

    /** Returns whether a request was answered recently. */
    public boolean wasAnsweredRecently(long content, long nowMillis) {
        Long answeredAt = mAnswered.get(content);
        return answeredAt != null && nowMillis - answeredAt < ANSWERED_TTL_MILLIS;
    }

    /** Returns the number of known crashes of targets serving a request. */
    public int crashCount(long content) {
        Set<Integer> crashes = mCrashes.get(content);
        return crashes == null ? 0 : crashes.size();
    }

    /** Returns the known crash events of a request. */
    public List<CrashEvent> events(long content) {
        Set<Integer> crashes = mCrashes.getOrDefault(content, Set.of());
        return crashes.stream().map(c -> new CrashEvent(content, c)).toList();
    }

    /** Returns whether the crash threshold of a request is reached. */
    public boolean isPoison(long content) {
        return crashCount(content) >= CRASH_THRESHOLD;
    }

    /** Removes a request that is quarantined by other means. */
    public void forget(long content) {
        mCrashes.remove(content);
    }

    /** Returns the number of suspected requests. */
    public int suspectCount() {
        return mCrashes.size();
    }
}
