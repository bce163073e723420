package org.forkseam.core.share;

import org.forkseam.core.member.Target;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;

/**
 * Passes on what targets told of their load, from router to router.
 *
 * <p>A target tells its load in its answers, to the router that asked. Of many routers each asks
 * the same target seldom: with 33 routers, 42 targets and 315 requests a second once in four
 * seconds, so that by itself a router knows next to nothing of the load that decides where its
 * requests wait. Each router therefore sends the newest readings it has, its own and others', to
 * one other router chosen at random, some times a second. A reading reaches all within a few
 * rounds, and what a router sends and receives does not grow with the number of routers. In the
 * model of such a fleet it takes two thirds of the shared tokens that are read again off calm
 * seconds.
 *
 * <p>Holds no state: readings stand in the {@link Target}s, where a newer one replaces an older.
 *
 * @since 0.4
 */
public final class LoadExchange {
    /**
     * Pause between two digests. Eight a second of 42 readings are 3 KB a second, and of the most 4
     * KB. Unit: milliseconds.
     */
    public static final long PERIOD_MILLIS = 125;

    /** Readings in a digest, the newest ones; 8 bytes each. */
    public static final int MAX_READINGS = 60;

    /** A reading older than this is not passed on: streams have ended since. Unit: ms. */
    private static final long MAX_AGE_MILLIS = 1_000;

    private LoadExchange() {}

    /** Returns the newest readings of some targets. */
    public static List<LoadReading> digest(Collection<Target> targets, long nowMillis) {
        List<LoadReading> readings = new ArrayList<>(targets.size());
        for (Target t : targets) {
            long age = t.loadReportAgeMillis(nowMillis);
            if (age >= 0 && age <= MAX_AGE_MILLIS) {
                readings.add(new LoadReading(t.shortHash(), t.reportedLoad(), (int) age));
            }
        }
        if (readings.size() <= MAX_READINGS) {
            return readings;
        }
        readings.sort(Comparator.comparingInt(LoadReading::ageMillis));
        return readings.subList(0, MAX_READINGS);
    }

    /**
     * Takes another router's readings of targets that this one knows.
     *
     * @param targets finds a target by the low bits of its hash
     */
    public static void take(
            List<LoadReading> readings, IntFunction<Optional<Target>> targets, long nowMillis) {
        for (LoadReading r : readings) {
            targets.apply(r.target())
                    .ifPresent(t -> t.onLoadRelayed(r.load(), nowMillis - r.ageMillis()));
        }
    }
}
