package org.forkseam.core.place;

import org.forkseam.core.route.Rendezvous;
import org.forkseam.core.util.Hashes;

import java.util.Collection;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Divides the engines of a pool into groups, each with one coordinator among the routers. Routers
 * that know the same engines and routers agree without communication. Immutable.
 *
 * @since 0.8
 */
public final class EngineGroups {
    /** Smaller groups leave a prompt too few engines to choose from. */
    private static final int MIN_GROUP_SIZE = 12;

    /** Separates the hashes of groups from other hashes of engines. */
    private static final long GROUP_SALT = 0x6A09L;

    private final int mCount;

    private EngineGroups(int count) {
        mCount = count;
    }

    /** Returns the groups of a pool with the given number of engines. */
    public static EngineGroups of(int engines) {
        return new EngineGroups(Integer.highestOneBit(Math.max(1, engines / MIN_GROUP_SIZE)));
    }

    /** Returns the number of groups, a power of two. */
    public int count() {
        return mCount;
    }

    /**
     * Returns the group of an engine.
     *
     * @param engineHash hash of the engine's id
     */
    public int groupOf(long engineHash) {
        return (int) (Hashes.mix(engineHash, GROUP_SALT) & (mCount - 1));
    }

    /**
     * Returns the router that coordinates a group; empty if there are no routers.
     *
     * @param hash returns a router's hash
     */
    public static <T> Optional<T> coordinator(
            String pool, int group, Collection<T> routers, ToLongFunction<T> hash) {
        long key = Hashes.mix(Hashes.of(pool), Hashes.mix(GROUP_SALT, group));
        return Rendezvous.highest(key, routers, hash, 1).stream().findFirst();
    }
}
