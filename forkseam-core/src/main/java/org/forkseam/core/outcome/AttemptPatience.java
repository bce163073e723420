package org.forkseam.core.outcome;

import java.util.Locale;
import java.util.OptionalLong;

/**
 * Decides, for one pool of scarce capacity, when a repeatable request is sent to a second target
 * because the first one has sent no data.
 *
 * <p>A request in a queue is not stalled: sending it again makes it wait at the end of another
 * queue, while the first target still runs it. The timeout therefore follows from the reported
 * queue and from recent response times. A second attempt also has to be likely to succeed, and is
 * limited to a share of the requests, so that second attempts never cause a shortage to persist.
 *
 * <p>Answers of abandoned attempts are missing among the recent response times; the limit keeps
 * them too few to lower the 90th percentile below the 85th. Not thread-safe.
 *
 * @since 0.8
 */
public final class AttemptPatience {
    /** Timeout in usual response times of the pool. */
    private static final long USUAL_RESPONSES = 3;

    /** Safety factor on the estimated time in a reported queue. */
    private static final double QUEUE_FACTOR = 2;

    /** Minimum timeout as a share of the latency objective. */
    private static final double MIN_LATENCY_SHARE = 0.6;

    /** A target that sends nothing on any connection for this long is considered stopped. */
    public static final long TARGET_SILENT_MILLIS = 600;

    private static final double USUAL_QUANTILE = 0.9;

    private static final double SERVICE_QUANTILE = 0.5;

    private final RecentQuantile mUsual = RecentQuantile.of(USUAL_QUANTILE);
    private final RecentQuantile mService = RecentQuantile.of(SERVICE_QUANTILE);
    private final SecondAttemptLimiter mLimiter = SecondAttemptLimiter.create();

    /** Decision on an attempt. The names are used as metric tag values. */
    public enum Verdict {
        /** The timeout has not passed. */
        WAIT(false, false),
        /** The target has stopped sending. */
        SILENT(true, false),
        /** The timeout has passed, and a second attempt is likely to succeed. */
        SLOW(true, false),
        /** The timeout has passed, but the pool has a shortage. */
        SHORTAGE(false, true),
        /** The timeout has passed, but no other target has room. */
        NO_ROOM(false, true),
        /** The timeout has passed, but too little time is left for a usual response. */
        NO_TIME(false, true),
        /** The timeout has passed, but there were too many second attempts. */
        LIMIT(false, true);

        private final boolean mAbandons;
        private final boolean mWithheld;

        Verdict(boolean abandons, boolean withheld) {
            mAbandons = abandons;
            mWithheld = withheld;
        }

        /** Returns whether the attempt is abandoned for a second one. */
        public boolean abandons() {
            return mAbandons;
        }

        /** Returns whether the attempt goes on although its timeout has passed. */
        public boolean isWithheld() {
            return mWithheld;
        }

        /** Returns the value of the metric tag. */
        public String tag() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Holds the state of a pool for the state dump.
     *
     * @param usualMillis usual response time; -1 if unknown
     * @param serviceMillis usual service time without queueing; -1 if unknown
     * @param allowsSecondAttempt whether the limit allows a second attempt
     */
    public record Snapshot(long usualMillis, long serviceMillis, boolean allowsSecondAttempt) {}

    private AttemptPatience() {}

    /** Creates the state of a pool without history. */
    public static AttemptPatience create() {
        return new AttemptPatience();
    }

    /** Records a request from a caller. */
    public void onRequest(long nowMillis) {
        mLimiter.onRequest(nowMillis);
    }

    /**
     * Records a response.
     *
     * @param millis time from sending the request to the complete response or first event
     * @param queue the target's queue when the request was sent
     */
    public void onResponse(long millis, AttemptState.TargetQueue queue, long nowMillis) {
        mUsual.add(millis, nowMillis);
        mService.add(Math.round(millis / queue.serviceTimes()), nowMillis);
    }

    /** Records that an attempt was abandoned for a second one. */
    public void onSecondAttempt(long nowMillis) {
        mLimiter.onSecondAttempt(nowMillis);
    }

    /** Returns whether the attempt is abandoned for a second one. */
    public boolean isStalled(AttemptState s, PoolPressure p, long nowMillis) {
        return judge(s, p, nowMillis).abandons();
    }

    /** Returns the decision on an attempt with its reason. */
    public Verdict judge(AttemptState s, PoolPressure p, long nowMillis) {
        if (isTargetSilent(s, nowMillis)) {
            return Verdict.SILENT;
        }
        if (s.silentMillis() <= timeoutMillis(s, nowMillis)) {
            return Verdict.WAIT;
        }
        if (p.shortage()) {
            return Verdict.SHORTAGE;
        }
        if (!p.hasRoomElsewhere()) {
            return Verdict.NO_ROOM;
        }
        if (s.remainingMillis() < usualMillis(s, nowMillis)) {
            return Verdict.NO_TIME;
        }
        return mLimiter.allows(nowMillis) ? Verdict.SLOW : Verdict.LIMIT;
    }

    /**
     * Returns the time without data after which the attempt counts as stalled while its target
     * sends data to others.
     */
    public long timeoutMillis(AttemptState s, long nowMillis) {
        double usual = USUAL_RESPONSES * usualMillis(s, nowMillis);
        double share = MIN_LATENCY_SHARE * s.objectiveMillis();
        return (long) Math.max(Math.max(usual, share), queueTimeoutMillis(s, nowMillis));
    }

    /** Returns the state for the state dump. */
    public Snapshot snapshot(long nowMillis) {
        return new Snapshot(
                mUsual.millis(nowMillis).orElse(-1),
                mService.millis(nowMillis).orElse(-1),
                mLimiter.allows(nowMillis));
    }

    /**
     * Returns whether the target has stopped sending. A queue reported to any router within the
     * same time shows that it works.
     */
    private boolean isTargetSilent(AttemptState s, long now) {
        if (Math.min(s.silentMillis(), s.targetSilentMillis()) <= TARGET_SILENT_MILLIS) {
            return false;
        }
        boolean works = s.queue().isReported() && s.queue().ageMillis() <= TARGET_SILENT_MILLIS;
        return !works || s.silentMillis() > queueTimeoutMillis(s, now);
    }

    private double queueTimeoutMillis(AttemptState s, long now) {
        if (!s.queue().isReported()) {
            return 0;
        }
        long service = mService.millis(now).orElse(s.objectiveMillis());
        return QUEUE_FACTOR * service * s.queue().serviceTimes();
    }

    /** Returns the usual response time; the objective while there are too few answers. */
    private long usualMillis(AttemptState s, long now) {
        OptionalLong usual = mUsual.millis(now);
        return usual.orElse(s.objectiveMillis());
    }
}
