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
 * Chooses the load digests that ride on messages, within a budget of bytes a second.
 *
 * <p>Each time a few targets are drawn and the ones heard of most recently go along, so that news
 * of every target spreads whoever sends to it. Used on the event loop.
 *
 * @since 0.1
 */
public final class DigestCarrier {
    private static final int DIGEST_BYTES = 18;
    private static final int BUDGET_BYTES = 300;
    private static final int USUAL = 2;
    private static final long WORTH_MILLIS = 3_000;

    private final Fleet mFleet;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final TokenBucket mBudget;

    private DigestCarrier(Fleet fleet, Clock clock, RandomGenerator random) {
        mFleet = fleet;
        mClock = clock;
        mRandom = random;
        double perSecond = (double) BUDGET_BYTES / DIGEST_BYTES;
        mBudget = TokenBucket.of(perSecond, perSecond, clock.nowMillis());
    }

    /** Creates the carrier of one daemon. */
    public static DigestCarrier of(Fleet fleet, Clock clock, RandomGenerator random) {
        return new DigestCarrier(fleet, clock, random);
    }

    /** Returns the sender's own digest and a few others'. */
    public List<org.forkseam.wire.proto.LoadDigest> withOwn(LoadDigest own) {
        List<org.forkseam.wire.proto.LoadDigest> out = new ArrayList<>(1 + USUAL);
        out.add(Codec.toWireWithoutTarget(own, mClock.nowMillis()));
        for (PoolView p : mFleet.view().poolsOf(own.target())) {
            draw(p, own.target(), USUAL, out);
        }
        return out;
    }

    /** Returns digests of a pool's targets to send to one of them. */
    public List<org.forkseam.wire.proto.LoadDigest> forTarget(PoolView pool, String target) {
        List<org.forkseam.wire.proto.LoadDigest> out = new ArrayList<>(USUAL);
        draw(pool, target, USUAL, out);
        return out;
    }

    private void draw(
            PoolView pool, String except, int count, List<org.forkseam.wire.proto.LoadDigest> out) {
        long now = mClock.nowMillis();
        List<TargetView> targets = pool.targets();
        for (int i = 0; i < count && !targets.isEmpty(); i++) {
            TargetView a = targets.get(mRandom.nextInt(targets.size()));
            TargetView b = targets.get(mRandom.nextInt(targets.size()));
            TargetView t = at(a) >= at(b) ? a : b;
            if (now - at(t) > WORTH_MILLIS || t.name().equals(except)) {
                continue;
            }
            if (!mBudget.tryTake(now)) {
                return;
            }
            out.add(Codec.toWire(t.digest().orElseThrow(), now));
        }
    }

    private static long at(TargetView t) {
        return t.digest().map(LoadDigest::atMillis).orElse(0L);
    }
}
