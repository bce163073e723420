package org.forkseam.core.share;

import org.forkseam.core.member.Target;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;

/**
 * Exchanges load readings of targets between routers.
 *
 * <p>A target reports its load in its answers, so that one of many routers gets reports of each
 * target too rarely by itself. Each router therefore periodically sends the newest readings it has,
 * its own and others', to a router chosen at random. A reading reaches all routers within a few
 * rounds, at a cost per router that does not depend on their number.
 *
 * <p>Stateless: readings are stored in the {@link Target}s, where newer ones replace older ones.
 *
 * @since 0.4
 */
public final class LoadGossip {
    /** Interval between two messages of a router. With 42 readings each they are 3 KB a second. */
    public static final long PERIOD_MILLIS = 125;

    /** Limit of readings in a message, of {@link LoadReading#BYTES} bytes each. */
    public static final int MAX_READINGS = 60;

    /** Age above which a reading is outdated and not sent, since streams have ended since. */
    private static final long MAX_AGE_MILLIS = 1_000;

    private LoadGossip() {}

    /** Returns the newest readings of the given targets. */
    public static List<LoadReading> newestReadings(Collection<Target> targets, long nowMillis) {
        List<LoadReading> readings = new ArrayList<>(targets.size());
        for (Target t : targets) {
            long age = t.loadReportAgeMillis(nowMillis);
            if (age >= 0 && age <= MAX_AGE_MILLIS) {
                readings.add(LoadReading.of(t.shortHash(), t.lastReport(), (int) age));
            }
        }
        if (readings.size() <= MAX_READINGS) {
            return readings;
        }
        readings.sort(Comparator.comparingInt(LoadReading::ageMillis));
        return readings.subList(0, MAX_READINGS);
    }

    /**
     * Applies another router's readings to the targets known to this router.
     *
     * @param targets finds a target by the low bits of its hash
     */
    public static void apply(
            List<LoadReading> readings, IntFunction<Optional<Target>> targets, long nowMillis) {
        for (LoadReading r : readings) {
            targets.apply(r.target())
                    .ifPresent(t -> t.onLoadRelayed(r.report(), nowMillis - r.ageMillis()));
        }
    }
}
