package org.forkseam.core.crash;

import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Quarantine of a poison request or prompt part, with its expiry and length. Immutable.
 *
 * <p>After a term expires, a single router sends the request once as a trial. If a target crashes
 * again, the next term is twice as long; if the request is answered, it is released. A bystander is
 * thus served again eventually, and a poison request crashes at most one target per term.
 *
 * <p>A fingerprint may be quarantined together with others that were in flight in the same crashes.
 * A request that has only some of them is tried before the term expires, since it may be harmless.
 *
 * @param untilMillis end of the quarantine or trial by the store's clock, which all routers share;
 *     0 if released
 * @param termMillis length of the current term
 * @param trialHost host name of the router that may send the trial; empty if none
 * @param tied fingerprints of which any may be the cause instead
 * @since 0.5
 */
public record QuarantineTerm(long untilMillis, long termMillis, String trialHost, List<Long> tied) {
    /**
     * Initial term; longer than callers' retries, shorter than a day in case of a false positive.
     */
    private static final long INITIAL_TERM_MILLIS = 600_000;

    /**
     * Initial term of a prompt part. Shorter, since a false positive refuses all requests that
     * share the part.
     */
    private static final long INITIAL_PART_TERM_MILLIS = 30_000;

    /** Maximum term, which limits crashes to one per day. */
    private static final long MAX_TERM_MILLIS = 86_400_000;

    /** Maximum time reserved for a trial; afterwards another router may start one. */
    private static final long MAX_TRIAL_MILLIS = 30_000;

    /** Share of the term that is reserved for a trial, as its inverse. */
    private static final long TERMS_PER_TRIAL = 3;

    /** Maximum number of tied fingerprints that are stored. */
    private static final int MAX_TIED = 8;

    private static final String NO_TRIAL_HOST = "";
    private static final String TIED_SEPARATOR = "/";
    private static final int FIELDS = 3;

    /** Copies the list. */
    public QuarantineTerm {
        tied = List.copyOf(tied);
    }

    /** Returns the initial term of a newly detected poison request. */
    public static QuarantineTerm initial(long nowMillis) {
        return ofLength(INITIAL_TERM_MILLIS, nowMillis);
    }

    /**
     * Returns the initial term of a newly detected fingerprint.
     *
     * @param tied fingerprints that were in flight in the same crashes
     */
    public static QuarantineTerm initial(long fingerprint, List<Long> tied, long nowMillis) {
        return ofLength(initialMillis(fingerprint), nowMillis).withTied(tied);
    }

    private static long initialMillis(long fingerprint) {
        return Fingerprint.isPart(fingerprint) ? INITIAL_PART_TERM_MILLIS : INITIAL_TERM_MILLIS;
    }

    /** Returns whether no trial of the fingerprint has crashed a target yet. */
    public boolean isInitial(long fingerprint) {
        return termMillis <= initialMillis(fingerprint);
    }

    /** Returns a copy with other tied fingerprints, of which only the first few are kept. */
    public QuarantineTerm withTied(List<Long> fingerprints) {
        List<Long> kept = fingerprints.subList(0, Math.min(MAX_TIED, fingerprints.size()));
        return new QuarantineTerm(untilMillis, termMillis, trialHost, kept);
    }

    private static QuarantineTerm ofLength(long termMillis, long nowMillis) {
        return new QuarantineTerm(nowMillis + termMillis, termMillis, NO_TRIAL_HOST, List.of());
    }

    /** Returns the state of a released request. */
    public static QuarantineTerm released() {
        return new QuarantineTerm(0, 0, NO_TRIAL_HOST, List.of());
    }

    /**
     * Returns the state while one router tries the request.
     *
     * @param host host name of the router that tries it; only one of several concurrent trials is
     *     granted
     */
    public QuarantineTerm withTrial(long nowMillis, String host) {
        long millis = Math.min(MAX_TRIAL_MILLIS, termMillis / TERMS_PER_TRIAL);
        return new QuarantineTerm(nowMillis + millis, termMillis, host, tied);
    }

    /** Returns the next term after a trial crashed a target. */
    public QuarantineTerm doubled(long nowMillis) {
        return ofLength(
                Math.min(MAX_TERM_MILLIS, Math.max(INITIAL_PART_TERM_MILLIS, 2 * termMillis)),
                nowMillis);
    }

    /** Returns whether a router is trying the request, or may be. */
    public boolean isInTrial(long nowMillis) {
        return !trialHost.isEmpty() && isActive(nowMillis);
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
        StringBuilder s = new StringBuilder().append(untilMillis).append(',').append(termMillis);
        tied.forEach(t -> s.append(TIED_SEPARATOR).append(Hashes.toHex(t)));
        return s.append(',').append(trialHost).toString();
    }

    /** Parses the format of {@link #format}; returns empty if the text is malformed. */
    public static Optional<QuarantineTerm> parse(String text) {
        String[] parts = text.split(",", FIELDS);
        if (parts.length < FIELDS) {
            return Optional.empty();
        }
        try {
            long until = Long.parseLong(parts[0]);
            String[] termAndTied = parts[1].split(TIED_SEPARATOR, MAX_TIED + 1);
            long term = Long.parseLong(termAndTied[0]);
            List<Long> tied = new ArrayList<>();
            for (String hex : Arrays.asList(termAndTied).subList(1, termAndTied.length)) {
                tied.add(Long.parseUnsignedLong(hex, 16));
            }
            boolean valid = until >= 0 && term >= 0 && term <= MAX_TERM_MILLIS;
            return valid
                    ? Optional.of(new QuarantineTerm(until, term, parts[2], tied))
                    : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty(); // logged by the caller
        }
    }
}
