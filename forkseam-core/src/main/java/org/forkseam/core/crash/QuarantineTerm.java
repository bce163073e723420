package org.forkseam.core.crash;

import java.util.Optional;

/**
 * Quarantine of a poison request, with its expiry and length. Immutable.
 *
 * <p>After a term expires, a single router sends the request once as a trial. If a target crashes
 * again, the next term is twice as long; if the request is answered, it is released. A bystander is
 * thus served again eventually, and a poison request crashes at most one target per term.
 *
 * @param untilMillis end of the quarantine or trial by the store's clock, which all routers share;
 *     0 if released
 * @param termMillis length of the current term
 * @param trialHost host name of the router that may send the trial; empty if none
 * @since 0.5
 */
public record QuarantineTerm(long untilMillis, long termMillis, String trialHost) {
    /**
     * Initial term; longer than callers' retries, shorter than a day in case of a false positive.
     */
    private static final long INITIAL_TERM_MILLIS = 600_000;

    /** Maximum term, which limits crashes to one per day. */
    private static final long MAX_TERM_MILLIS = 86_400_000;

    /** Time reserved for a trial; afterwards another router may start one. */
    private static final long TRIAL_MILLIS = 30_000;

    private static final String NO_TRIAL_HOST = "";
    private static final int FIELDS = 3;

    /** Returns the initial term of a newly detected poison request. */
    public static QuarantineTerm initial(long nowMillis) {
        return new QuarantineTerm(
                nowMillis + INITIAL_TERM_MILLIS, INITIAL_TERM_MILLIS, NO_TRIAL_HOST);
    }

    /** Returns the state of a released request. */
    public static QuarantineTerm released() {
        return new QuarantineTerm(0, 0, NO_TRIAL_HOST);
    }

    /**
     * Returns the state while one router tries the request.
     *
     * @param host host name of the router that tries it; only one of several concurrent trials is
     *     granted
     */
    public QuarantineTerm withTrial(long nowMillis, String host) {
        return new QuarantineTerm(nowMillis + TRIAL_MILLIS, termMillis, host);
    }

    /** Returns the next term after a trial crashed a target. */
    public QuarantineTerm doubled(long nowMillis) {
        long next = Math.min(MAX_TERM_MILLIS, Math.max(INITIAL_TERM_MILLIS, 2 * termMillis));
        return new QuarantineTerm(nowMillis + next, next, NO_TRIAL_HOST);
    }

    /** Returns whether the request must not be sent to any target. */
    public boolean isActive(long nowMillis) {
        return nowMillis < untilMillis;
    }

    /** Returns whether the request is released. */
    public boolean isReleased() {
        return termMillis == 0;
    }

    /** Returns whether the quarantine can be removed: the request was not sent for a whole term. */
    public boolean isExpired(long nowMillis) {
        return nowMillis >= untilMillis + termMillis;
    }

    /** Returns the remaining milliseconds of the term, at least 0. */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, untilMillis - nowMillis);
    }

    /** Formats the term as stored by routers. */
    public String format() {
        return untilMillis + "," + termMillis + "," + trialHost;
    }

    /** Parses the format of {@link #format}; returns empty if the text is malformed. */
    public static Optional<QuarantineTerm> parse(String text) {
        String[] parts = text.split(",", FIELDS);
        if (parts.length < FIELDS) {
            return Optional.empty();
        }
        try {
            long until = Long.parseLong(parts[0]);
            long term = Long.parseLong(parts[1]);
            boolean valid = until >= 0 && term >= 0 && term <= MAX_TERM_MILLIS;
            return valid
                    ? Optional.of(new QuarantineTerm(until, term, parts[2]))
                    : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty(); // logged by the caller
        }
    }
}
