package org.forkseam.direct.know;

import io.netty.channel.EventLoop;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.io.ReadBarrier;
import org.forkseam.direct.log.GuardedSteps;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Base class of the followers of data in the store: scheduling, jitter and backoff. Confined to the
 * event loop.
 */
abstract class FollowerBase {
    /**
     * Random delay of reads, so that usually one router reads and the others receive its message
     * first.
     */
    static final long JITTER_MILLIS = 250;

    private static final long FIRST_BACKOFF_MILLIS = 100;

    /** Maximum backoff of a router that cannot serve callers yet. */
    private static final long MAX_BACKOFF_MILLIS = 500;

    /**
     * Maximum backoff of a router that can serve callers, to limit the load on an overloaded store.
     */
    private static final long MAX_SERVING_BACKOFF_MILLIS = 1_500;

    private static final int MAX_DOUBLINGS = 4;

    /**
     * Head start of the router that reads first after a change of era; covers the transfer of a
     * configuration of 2,000 routes at 10 Mbit/s.
     */
    private static final long FIRST_READER_HEAD_START_MILLIS = 700;

    /** Maximum random delay of the other routers after that head start. */
    private static final long MAX_REREAD_JITTER_MILLIS = 1_000;

    /** Scales random delays with the number of routers. */
    private static final long JITTER_MILLIS_PER_ROUTER = 10;

    private final Context mContext;
    private final ReadBarrier mReadBarrier;
    private final GuardedSteps mSteps;
    private boolean mStopped;

    /**
     * Holds the dependencies that the followers of a router share.
     *
     * @param loop event loop of the followers
     * @param clock local steady clock
     * @param random source of jitter
     * @param peers the other routers
     * @param storeHealth availability of the store
     * @param era newest era of the store
     * @param serving whether this router has the state required to serve callers
     */
    record Context(
            EventLoop loop,
            Clock clock,
            RandomGenerator random,
            PeerGroup peers,
            StoreHealth storeHealth,
            StoreEra era,
            BooleanSupplier serving) {}

    FollowerBase(Context context) {
        mContext = context;
        mReadBarrier = ReadBarrier.of(context.loop());
        mSteps = GuardedSteps.of(context.clock());
    }

    void stop() {
        mStopped = true;
    }

    final boolean isStopped() {
        return mStopped;
    }

    final long now() {
        return mContext.clock().nowMillis();
    }

    final RandomGenerator random() {
        return mContext.random();
    }

    final long jitterMillis() {
        return mContext.random().nextLong(JITTER_MILLIS);
    }

    final PeerGroup peers() {
        return mContext.peers();
    }

    final StoreHealth storeHealth() {
        return mContext.storeHealth();
    }

    final java.util.concurrent.Future<?> schedule(long millis, Runnable task) {
        return mContext.loop().schedule(guard(task), millis, TimeUnit.MILLISECONDS);
    }

    /** Schedules a task that concludes something from messages that did not arrive. */
    final java.util.concurrent.Future<?> scheduleTimeout(long millis, Runnable task) {
        return mReadBarrier.schedule(millis, guard(task));
    }

    private Runnable guard(Runnable task) {
        return mSteps.guard(getClass().getSimpleName(), task);
    }

    /**
     * Calls a listener of a change. An exception is logged and does not keep the follower from
     * applying further changes and scheduling its next read.
     */
    final void notifyListener(Runnable call) {
        mSteps.run(getClass().getSimpleName() + ".listener", call);
    }

    final StoreEra era() {
        return mContext.era();
    }

    /**
     * Reads everything after a gap in the history, unless another router's message closes the gap
     * first.
     *
     * @param known position up to which this router knows the store
     * @param follow continues from that position
     * @param read reads everything
     */
    final void rereadUnlessUpdated(Supplier<StorePosition> known, Runnable follow, Runnable read) {
        StorePosition stale = known.get();
        schedule(
                backoffMillis(1) + rereadDelayMillis(),
                () -> (known.get().isAfter(stale) ? follow : read).run());
    }

    /**
     * Returns the delay of a full read after a gap in the history. All routers detect the gap at
     * the same time; the first one reads and broadcasts.
     */
    private long rereadDelayMillis() {
        if (peers().isFirst()) {
            return 0;
        }
        return FIRST_READER_HEAD_START_MILLIS + fleetJitterMillis(MAX_REREAD_JITTER_MILLIS);
    }

    /**
     * Returns a random delay whose range grows with the number of other routers, up to a maximum.
     */
    final long fleetJitterMillis(long maxMillis) {
        long span = Math.min(maxMillis, JITTER_MILLIS_PER_ROUTER * peers().peerCount());
        return span == 0 ? 0 : random().nextLong(span);
    }

    /** Returns a random delay whose range grows with the number of other routers. */
    final long fleetJitterMillis() {
        return fleetJitterMillis(Long.MAX_VALUE);
    }

    /** Returns the jittered exponential backoff after this number of consecutive failures. */
    final long backoffMillis(int failures) {
        long max =
                mContext.serving().getAsBoolean() ? MAX_SERVING_BACKOFF_MILLIS : MAX_BACKOFF_MILLIS;
        long pause = Math.min(max, FIRST_BACKOFF_MILLIS << Math.min(failures - 1, MAX_DOUBLINGS));
        return pause / 2 + random().nextLong(pause);
    }
}
