package org.forkseam.core.crash;

import org.forkseam.core.util.BoundedMap;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts the targets that ended while they had a request, by what the request asks for.
 *
 * <p>One target that ends has many requests, and only one of them may be the cause. What was merely
 * beside it is answered when it is sent again, or does not come again; the cause is never answered.
 * So a request is convicted once as many targets as {@link #CRASHES_TO_CONVICT} have ended under it
 * and none has answered it lately. In a storm of 18 ends of targets within eight seconds, 62 of 276
 * requests were beside two of them and none beside three.
 *
 * <p>Both memories are bounded; what was heard of longest ago is forgotten first. Used on one
 * thread.
 *
 * @since 0.5
 */
public final class CrashSuspects {
    /**
     * Targets that may end under a request before it is refused. Origin: the operators, who allow
     * three; with fewer, requests that were only beside a crash would be refused.
     */
    public static final int CRASHES_TO_CONVICT = 3;

    /** Contents remembered, some 250 bytes each: what 64 targets had that ended at full load. */
    private static final int MAX_CONTENTS = 4_096;

    /** Answered contents remembered, some 100 bytes each: a minute of a busy router's requests. */
    private static final int MAX_ANSWERED = 2_048;

    /**
     * A request that was answered so short a while ago is not the cause of a crash: one that is
     * asked for again and again would otherwise be beside every crash. Not longer, so that what new
     * software of targets cannot bear is found out as soon. Unit: milliseconds.
     */
    private static final long ANSWERED_MILLIS = 10_000;

    private final Map<Long, Set<Integer>> mCrashes = BoundedMap.byAccess(MAX_CONTENTS);
    private final Map<Long, Long> mAnswered = BoundedMap.byAccess(MAX_ANSWERED);

    private CrashSuspects() {}

    /** Creates a count without any suspect. */
    public static CrashSuspects create() {
        return new CrashSuspects();
    }

    /**
     * Takes in what this router saw or another told, and returns whether it was news. Doubled and
     * late news change nothing.
     */
    public boolean take(CrashFact fact, long nowMillis) {
        if (fact.isAnswered()) {
            return onAnswered(fact.content(), nowMillis);
        }
        if (wasAnswered(fact.content(), nowMillis)) {
            return false;
        }
        Set<Integer> crashes = mCrashes.computeIfAbsent(fact.content(), c -> new HashSet<>());
        return crashes.size() < CRASHES_TO_CONVICT && crashes.add(fact.crash());
    }

    /** Notes that a target has answered a request, and returns whether it was a suspect. */
    public boolean onAnswered(long content, long nowMillis) {
        mAnswered.put(content, nowMillis);
        return mCrashes.remove(content) != null;
    }

    /** Returns whether a target has answered a request lately. */
    public boolean wasAnswered(long content, long nowMillis) {
        Long at = mAnswered.get(content);
        return at != null && nowMillis - at < ANSWERED_MILLIS;
    }

    /** Returns how many targets are known to have ended under a request. */
    public int crashes(long content) {
        Set<Integer> crashes = mCrashes.get(content);
        return crashes == null ? 0 : crashes.size();
    }

    /** Returns the ends of targets that are known under a request. */
    public List<CrashFact> of(long content) {
        Set<Integer> crashes = mCrashes.getOrDefault(content, Set.of());
        return crashes.stream().map(c -> new CrashFact(content, c)).toList();
    }

    /** Returns whether as many targets have ended under a request as it takes to refuse it. */
    public boolean isConvicted(long content) {
        return crashes(content) >= CRASHES_TO_CONVICT;
    }

    /** Begins anew with a request that is kept from targets by other means. */
    public void forget(long content) {
        mCrashes.remove(content);
    }

    /** Returns the number of suspects. */
    public int size() {
        return mCrashes.size();
    }
}
