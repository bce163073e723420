package org.forkseam.daemon.share;

import org.forkseam.core.admit.TokenBucket;
import org.forkseam.core.load.LoadDigest;
import org.forkseam.core.route.PoolView;
import org.forkseam.core.route.TargetView;
import org.forkseam.core.util.Clock;
import org.forkseam.wire.Codec;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Samples the load digests to piggyback on messages, limited to a number of bytes per second.
 *
 * <p>Each digest is the more recent of two drawn at random, so that fresh load information on all
 * targets spreads through the fleet. Not thread-safe: used on the event loop only.
 *
 * @since 0.1
 */
public final class DigestSampler {
    private static final int DIGEST_BYTES = 18;
    private static final int BUDGET_BYTES_PER_SECOND = 300;
    private static final int DIGESTS_PER_MESSAGE = 2;
    private static final long MAX_DIGEST_AGE_MILLIS = 3_000;

    private final Fleet mFleet;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final TokenBucket mBudget;

    private DigestSampler(Fleet fleet, Clock clock, RandomGenerator random) {
        mFleet = fleet;
        mClock = clock;
        mRandom = random;
        double perSecond = (double) BUDGET_BYTES_PER_SECOND / DIGEST_BYTES;
        mBudget = TokenBucket.of(perSecond, perSecond, clock.nowMillis());
    }

    /** Creates a sampler. */
    public static DigestSampler of(Fleet fleet, Clock clock, RandomGenerator random) {
        return new DigestSampler(fleet, clock, random);
    }

    /** Returns the sender's own digest and a sample of others in its pools. */
    public List<org.forkseam.wire.proto.LoadDigest> withOwn(LoadDigest own) {
        List<org.forkseam.wire.proto.LoadDigest> out = new ArrayList<>(1 + DIGESTS_PER_MESSAGE);
        out.add(Codec.toWireWithoutTarget(own, mClock.nowMillis()));
        for (PoolView p : mFleet.view().poolsOf(own.target())) {
            sample(p, own.target(), DIGESTS_PER_MESSAGE, out);
        }
        return out;
    }

    /** Returns a sample of a pool's digests to send to one of its targets. */
    public List<org.forkseam.wire.proto.LoadDigest> forTarget(PoolView pool, String target) {
        List<org.forkseam.wire.proto.LoadDigest> out = new ArrayList<>(DIGESTS_PER_MESSAGE);
        sample(pool, target, DIGESTS_PER_MESSAGE, out);
        return out;
    }

    private void sample(
            PoolView pool,
            String exclude,
            int count,
            List<org.forkseam.wire.proto.LoadDigest> out) {
        long now = mClock.nowMillis();
        List<TargetView> targets = pool.targets();
        for (int i = 0; i < count && !targets.isEmpty(); i++) {
            TargetView a = targets.get(mRandom.nextInt(targets.size()));
            TargetView b = targets.get(mRandom.nextInt(targets.size()));
            TargetView t = digestTime(a) >= digestTime(b) ? a : b;
            if (now - digestTime(t) > MAX_DIGEST_AGE_MILLIS || t.name().equals(exclude)) {
                continue;
            }
            if (!mBudget.tryTake(now)) {
                return;
            }
            out.add(Codec.toWire(t.digest().orElseThrow(), now));
        }
    }

    private static long digestTime(TargetView t) {
        return t.digest().map(LoadDigest::atMillis).orElse(0L);
    }
}
