package org.forkseam.core.share;

import org.forkseam.core.route.Rendezvous;
import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Selects the routers that keep the origin of a stream.
 *
 * <p>Streams are divided into partitions. One router records the streams of a partition in the
 * store, so that the number of writes does not grow with the number of routers. The other keepers
 * are selected by the stream itself and share the load evenly. Stateless.
 *
 * @since 0.7
 */
public final class StreamKeepers {
    /**
     * Writes a second of all recorders: 8% of the 400 calls that small fleets are allowed, 3% of
     * the 1,200 of large ones.
     */
    private static final int WRITES_PER_SECOND = 32;

    /**
     * Ratio of the interval of a router's writes in place of the recorder to that of the recorder,
     * so that substitutes add a quarter to the writes.
     */
    private static final int SUBSTITUTE_INTERVALS = 4;

    /** With few partitions each is written more often, so that fewer streams are lost. */
    private static final int FEW_PARTITIONS = 2;

    /** With more partitions a recorder receives a smaller share of the reports. */
    private static final int MANY_PARTITIONS = 8;

    /** Number of routers from which there are many partitions. */
    private static final int LARGE_FLEET = 64;

    private static final long MILLIS_PER_SECOND = 1_000;

    private static final long SALT = Hashes.of("stream-recorder");

    private StreamKeepers() {}

    /**
     * Returns the number of partitions. Routers that disagree on it while many start or end do not
     * find each other's records.
     */
    public static int partitions(int routers) {
        return routers < LARGE_FLEET ? FEW_PARTITIONS : MANY_PARTITIONS;
    }

    /** Returns the minimum interval of the writes of a partition. */
    public static long intervalMillis(int partitions) {
        return (MILLIS_PER_SECOND * partitions + WRITES_PER_SECOND - 1) / WRITES_PER_SECOND;
    }

    /**
     * Returns the minimum interval of the writes of a router in place of a partition's recorder.
     */
    public static long substituteIntervalMillis(int partitions) {
        return SUBSTITUTE_INTERVALS * intervalMillis(partitions);
    }

    /** Returns the partition of a stream. */
    public static int partitionOf(long stream, int partitions) {
        return (int) Long.remainderUnsigned(Hashes.mix(SALT, stream), partitions);
    }

    /**
     * Returns the router that records the streams of a partition; empty if there are no routers.
     *
     * @param hash returns a router's hash
     */
    public static <T> Optional<T> recorder(
            int partition, Collection<T> routers, ToLongFunction<T> hash) {
        return recorders(partition, routers, hash, 1).stream().findFirst();
    }

    /**
     * Returns the recorder of a partition and those that record in its place, in order.
     *
     * @param count maximum number of routers returned
     */
    public static <T> List<T> recorders(
            int partition, Collection<T> routers, ToLongFunction<T> hash, int count) {
        return Rendezvous.highest(Hashes.mix(SALT, partition), routers, hash, count);
    }

    /**
     * Returns the keepers of a stream among other routers: the recorder unless it is this router,
     * and those with the highest scores.
     *
     * @param count maximum number of routers returned
     */
    public static <T> List<T> select(
            long stream,
            Collection<T> others,
            Optional<T> recorder,
            ToLongFunction<T> hash,
            int count) {
        List<T> keepers = new ArrayList<>();
        recorder.filter(others::contains).ifPresent(keepers::add);
        for (T router : Rendezvous.highest(stream, others, hash, count)) {
            if (keepers.size() < count && !keepers.contains(router)) {
                keepers.add(router);
            }
        }
        return keepers;
    }
}
