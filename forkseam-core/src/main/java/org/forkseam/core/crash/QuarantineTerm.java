package org.forkseam.core.crash;

import java.util.Optional;

/**
 * Says until when a request is refused under which targets have ended. Immutable.
 *
 * <p>When its term is over, one router at a time sends the request once: if a target ends again the
 * next term is twice as long, and if it is answered the request is released. So a request that was
 * only beside the crashes is served again one day, and one that is the cause ends one target a
 * term.
 *
 * @param untilMillis up to when no target gets it, by the clock of the store that all routers
 *     share; 0 if it was released
 * @param termMillis length of this term
 * @param trier name of the router's host that may try the request meanwhile; empty if none may
 * @since 0.5
 */
public record QuarantineTerm(long untilMillis, long termMillis, String trier) {
    /**
     * Length of the first term. Long beside the seconds in which a caller repeats, short beside the
     * day that a caller refused without cause would have to wait. Unit: milliseconds.
     */
    private static final long FIRST_MILLIS = 600_000;

    /** Longest term, so that one target a day is lost at most. Unit: milliseconds. */
    private static final long MAX_MILLIS = 86_400_000;

    /** One router has so long for a trial; if it is lost, another may try. Unit: milliseconds. */
    private static final long TRIAL_MILLIS = 30_000;

    private static final String NOBODY = "";
    private static final int FIELDS = 3;

    /** Returns the term of a request that was convicted now. */
    public static QuarantineTerm first(long nowMillis) {
        return new QuarantineTerm(nowMillis + FIRST_MILLIS, FIRST_MILLIS, NOBODY);
    }

    /** Returns what holds for a request that was answered. */
    public static QuarantineTerm released() {
        return new QuarantineTerm(0, 0, NOBODY);
    }

    /**
     * Returns what holds for the others while one router tries the request.
     *
     * @param host name of that router's host: of two that ask at the same moment, one is meant
     */
    public QuarantineTerm tried(long nowMillis, String host) {
        return new QuarantineTerm(nowMillis + TRIAL_MILLIS, termMillis, host);
    }

    /** Returns the term that follows when a target has ended in the trial. */
    public QuarantineTerm doubled(long nowMillis) {
        long next = Math.min(MAX_MILLIS, Math.max(FIRST_MILLIS, 2 * termMillis));
        return new QuarantineTerm(nowMillis + next, next, NOBODY);
    }

    /** Returns whether no target gets the request. */
    public boolean isRunning(long nowMillis) {
        return nowMillis < untilMillis;
    }

    /** Returns whether the request is served as any other. */
    public boolean isReleased() {
        return termMillis == 0;
    }

    /** Returns whether it may be forgotten: nobody has asked for the request for a whole term. */
    public boolean isOver(long nowMillis) {
        return nowMillis >= untilMillis + termMillis;
    }

    /** Returns the milliseconds left of the term, at least 0. */
    public long leftMillis(long nowMillis) {
        return Math.max(0, untilMillis - nowMillis);
    }

    /** Writes it as routers keep it. */
    public String write() {
        return untilMillis + "," + termMillis + "," + trier;
    }

    /** Reads what {@link #write} wrote; empty if it is something else. */
    public static Optional<QuarantineTerm> read(String text) {
        String[] parts = text.split(",", FIELDS);
        if (parts.length < FIELDS) {
            return Optional.empty();
        }
        try {
            long until = Long.parseLong(parts[0]);
            long term = Long.parseLong(parts[1]);
            boolean sound = until >= 0 && term >= 0 && term <= MAX_MILLIS;
            return sound
                    ? Optional.of(new QuarantineTerm(until, term, parts[2]))
                    : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty(); // the caller logs the row
        }
    }
}
