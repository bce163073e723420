package org.forkseam.core.crash;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Detects poison requests, i.e. requests that crash the targets serving them, and poison parts,
 * i.e. parts of prompts that crash the targets of every request that has them.
 *
 * <p>Counts crashes of targets by the fingerprints of the requests in flight. Most of these are
 * bystanders, which are answered when they come again; the cause is never answered. A fingerprint
 * is considered poison once {@link #CRASH_THRESHOLD} targets have crashed with it in flight and no
 * request that has it was answered recently. Several parts that were in flight in the same crashes
 * are {@link #tied}: any of them may be the cause.
 *
 * <p>Memory is bounded; the least recently used entries are evicted. Not thread-safe.
 *
 * @since 0.5
 */
public final class PoisonRequestDetector {
    /** Number of crashes from which a request is refused. Lower values would refuse bystanders. */
    public static final int CRASH_THRESHOLD = 3;

    /**
     * Number of common crashes from which parts are tied. Allows for a report of one of them that
     * has not arrived: a false tie costs a trial, a missed one a term of refusals.
     */
    private static final int TIE_THRESHOLD = CRASH_THRESHOLD - 1;

    /** Number of crashes kept of a part, to tell the parts of the same requests apart. */
    private static final int MAX_PART_CRASHES = 8;

    /**
     * Time within which crashes count once for a part, since targets that crash together do so for
     * another reason. Less than a request takes to crash its target.
     */
    private static final int SAME_MOMENT_MILLIS = 20;

    /**
     * Time for which an answered request is not suspected. Keeps frequent requests, which are in
     * flight in every crash, from being suspected, but allows for requests that crash a new version
     * of the targets.
     */
    private static final long ANSWERED_TTL_MILLIS = 10_000;

    /**
     * Same for parts. Shorter, since a part that begins to crash targets was answered until then,
     * and at the rate of all requests that share it.
     */
    private static final long PART_ANSWERED_TTL_MILLIS = 1_000;

    /** Time for which an answered part is not considered an alternative cause of a failed trial. */
    private static final long HARMLESS_TTL_MILLIS = 60_000;

    private final SuspectTable mContents =
            new SuspectTable(CRASH_THRESHOLD, 0, ANSWERED_TTL_MILLIS);
    private final SuspectTable mParts =
            new SuspectTable(MAX_PART_CRASHES, SAME_MOMENT_MILLIS, PART_ANSWERED_TTL_MILLIS);

    private PoisonRequestDetector() {}

    /** Creates a detector without suspects. */
    public static PoisonRequestDetector create() {
        return new PoisonRequestDetector();
    }

    private SuspectTable table(long fingerprint) {
        return Fingerprint.isPart(fingerprint) ? mParts : mContents;
    }

    /**
     * Records an event seen by this router or reported by another. Duplicate and late events are
     * ignored.
     *
     * @return whether the event changed the state
     */
    public boolean onEvent(CrashEvent event, long nowMillis) {
        SuspectTable t = table(event.fingerprint());
        return event.isAnswered()
                ? t.onAnsweredElsewhere(
                        event.fingerprint(), nowMillis - event.answeredAgoMillis(), nowMillis)
                : t.onCrash(event.fingerprint(), event.crashId(), nowMillis);
    }

    /** Records an answer that this router received; returns whether there was a suspicion. */
    public boolean onAnswered(long fingerprint, long nowMillis) {
        return table(fingerprint).onAnswered(fingerprint, nowMillis);
    }

    /** Returns a report of the last answer; empty if there was none recently. */
    public Optional<CrashEvent> lastAnswer(long fingerprint, long nowMillis) {
        return table(fingerprint)
                .answerAgeMillis(fingerprint, nowMillis)
                .map(age -> CrashEvent.answered(fingerprint, age));
    }

    /** Returns whether a request with the fingerprint was answered recently. */
    public boolean wasAnsweredRecently(long fingerprint, long nowMillis) {
        return lastAnswer(fingerprint, nowMillis).isPresent();
    }

    /** Returns whether there was an answer within a longer time, and no crash since. */
    public boolean isKnownHarmless(long fingerprint, long nowMillis) {
        return crashCount(fingerprint) == 0
                && table(fingerprint).wasAnswered(fingerprint, HARMLESS_TTL_MILLIS, nowMillis);
    }

    /** Returns whether this router itself received such an answer. */
    public boolean hasSeenAnswerRecently(long fingerprint, long nowMillis) {
        return table(fingerprint).hasSeenAnswer(fingerprint, nowMillis);
    }

    /** Returns the number of known crashes of targets serving such requests. */
    public int crashCount(long fingerprint) {
        return crashes(fingerprint).size();
    }

    /**
     * Returns the number of known crashes of a part up to a time.
     *
     * @param storeMillis time on the store's clock
     */
    public int crashCountUntil(long fingerprint, long storeMillis) {
        int until = (int) storeMillis;
        return (int) crashes(fingerprint).stream().filter(c -> c - until <= 0).count();
    }

    private Set<Integer> crashes(long fingerprint) {
        return table(fingerprint).crashes(fingerprint);
    }

    /** Returns the known crash events of a fingerprint. */
    public List<CrashEvent> events(long fingerprint) {
        return crashes(fingerprint).stream().map(c -> new CrashEvent(fingerprint, c)).toList();
    }

    /** Returns whether the crash threshold is reached. */
    public boolean isPoison(long fingerprint) {
        return crashCount(fingerprint) >= CRASH_THRESHOLD;
    }

    /**
     * Returns whether the crash threshold is reached even without the crashes of known causes.
     *
     * @param causes quarantined parts, of which the fingerprint may be one
     */
    public boolean isPoisonBesides(long fingerprint, Iterable<Long> causes) {
        return Fingerprint.isPart(fingerprint)
                ? mParts.countWithout(fingerprint, causes) >= CRASH_THRESHOLD
                : isPoison(fingerprint);
    }

    /**
     * Returns the other parts that may have caused the crashes of a part: those with at least
     * {@link #TIE_THRESHOLD} of these crashes.
     */
    public List<Long> tied(long fingerprint) {
        return Fingerprint.isPart(fingerprint)
                ? mParts.withCrashesOf(fingerprint, TIE_THRESHOLD)
                : List.of();
    }

    /** Removes a fingerprint whose quarantine has ended. */
    public void forget(long fingerprint) {
        table(fingerprint).forget(fingerprint);
    }

    /** Returns the number of suspected fingerprints. */
    public int suspectCount() {
        return mContents.size() + mParts.size();
    }
}
