package org.forkseam.direct.know;

import io.netty.channel.EventLoop;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.util.Clock;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Is the common part of what follows something in the store. Used on the event loop. */
abstract class FollowerBase {
    /** Routers read at random moments in such a span, so that mostly one reads for all. */
    static final long SPREAD_MILLIS = 250;

    private static final long FIRST_BACKOFF_MILLIS = 100;

    /** Longest pause of a router that knows too little to serve: its callers wait for it. */
    private static final long MAX_BACKOFF_MILLIS = 500;

    /**
     * Longest pause of a router that serves by what it knows, while the store refuses it or is
     * away. Each refused call has its price, and a router makes three kinds of read. What it misses
     * for the second more it hears from others, once the store answers it again.
     */
    private static final long MAX_SERVING_BACKOFF_MILLIS = 1_500;

    /** Enough to reach the longest pause. */
    private static final int MAX_DOUBLINGS = 4;

    /**
     * Routers that need all that one of them is about to read and tell leave it so long to that
     * one; longer than a configuration of 2,000 routes takes at 10 Mbit/s. Unit: milliseconds.
     */
    private static final long LEFT_TO_FIRST_MILLIS = 700;

    /** Then they read at random moments of such a span at most. Unit: milliseconds. */
    private static final long MAX_REREAD_SPREAD_MILLIS = 1_000;

    /** What each router may do, and one or a few need, is spread over so long a router. */
    private static final long SPREAD_MILLIS_A_ROUTER = 10;

    private final Surroundings mAround;
    private boolean mStopped;

    /**
     * Holds what all followers of a router work with.
     *
     * @param link to the other routers
     * @param watch over the store
     * @param era of the store
     * @param serving tells whether this router knows enough to serve callers
     */
    record Surroundings(
            EventLoop loop,
            Clock clock,
            RandomGenerator random,
            PeerLink link,
            SourceWatch watch,
            StoreEra era,
            BooleanSupplier serving) {}

    FollowerBase(Surroundings around) {
        mAround = around;
    }

    void stop() {
        mStopped = true;
    }

    final boolean isStopped() {
        return mStopped;
    }

    final long now() {
        return mAround.clock().nowMillis();
    }

    final RandomGenerator random() {
        return mAround.random();
    }

    final long spread() {
        return mAround.random().nextLong(SPREAD_MILLIS);
    }

    final PeerLink link() {
        return mAround.link();
    }

    final SourceWatch watch() {
        return mAround.watch();
    }

    final java.util.concurrent.Future<?> later(long millis, Runnable task) {
        return mAround.loop().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    final StoreEra era() {
        return mAround.era();
    }

    /**
     * Reads all anew, the history of before being gone, unless another router tells meanwhile what
     * the store holds now.
     *
     * @param known up to where this router knows the store
     * @param follow goes on from there
     */
    final void rereadUnlessTold(Supplier<StorePosition> known, Runnable follow, Runnable read) {
        StorePosition stale = known.get();
        later(
                pauseAfter(1) + rereadPause(),
                () -> (known.get().isAfter(stale) ? follow : read).run());
    }

    /**
     * Returns the pause before this router reads all anew because the history of before is gone:
     * all routers find that at the same time, and one of them tells the others.
     */
    private long rereadPause() {
        if (link().goesFirst()) {
            return 0;
        }
        return LEFT_TO_FIRST_MILLIS + spreadOverRouters(MAX_REREAD_SPREAD_MILLIS);
    }

    /** Returns a random moment of a span that grows with the number of other routers. */
    final long spreadOverRouters(long maxMillis) {
        long span = Math.min(maxMillis, SPREAD_MILLIS_A_ROUTER * link().others());
        return span == 0 ? 0 : random().nextLong(span);
    }

    /** Returns a random moment of such a span, however many routers there are. */
    final long spreadOverRouters() {
        return spreadOverRouters(Long.MAX_VALUE);
    }

    /** Returns the pause before the next try of a read that has failed so often in a row. */
    final long pauseAfter(int failures) {
        long max =
                mAround.serving().getAsBoolean() ? MAX_SERVING_BACKOFF_MILLIS : MAX_BACKOFF_MILLIS;
        long pause = Math.min(max, FIRST_BACKOFF_MILLIS << Math.min(failures - 1, MAX_DOUBLINGS));
        return pause / 2 + random().nextLong(pause);
    }
}
