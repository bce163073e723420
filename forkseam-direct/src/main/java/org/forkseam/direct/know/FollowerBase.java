package org.forkseam.direct.know;

import io.netty.channel.EventLoop;

import org.forkseam.core.util.Clock;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Is the common part of what follows something in the store. Used on the event loop. */
abstract class FollowerBase {
    /** Routers read at random moments in such a span, so that mostly one reads for all. */
    static final long SPREAD_MILLIS = 250;

    private static final long FIRST_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 500;

    private final Surroundings mAround;
    private boolean mStopped;

    /**
     * Holds what all followers of a router work with.
     *
     * @param link to the other routers
     * @param watch over the store
     */
    record Surroundings(
            EventLoop loop,
            Clock clock,
            RandomGenerator random,
            PeerLink link,
            SourceWatch watch) {}

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

    /** Gives growing pauses between failed reads. */
    static final class Backoff {
        private long mNext = FIRST_BACKOFF_MILLIS;

        long next(RandomGenerator random) {
            long pause = mNext / 2 + random.nextLong(mNext);
            mNext = Math.min(MAX_BACKOFF_MILLIS, mNext * 2);
            return pause;
        }

        void reset() {
            mNext = FIRST_BACKOFF_MILLIS;
        }
    }
}
