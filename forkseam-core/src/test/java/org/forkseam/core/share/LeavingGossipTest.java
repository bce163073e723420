package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.store.StorePosition;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Tests that gossip about leaving targets keeps requests away from them while the store is
 * unavailable, at a bounded cost.
 *
 * <p>Requests per second of one target and numbers of routers are those of small to large fleets.
 */
class LeavingGossipTest {
    private static final int SECONDS = 12;
    private static final int STEPS_PER_SECOND = 1_000;
    private static final int STEPS_PER_MESSAGE = (int) LoadGossip.PERIOD_MILLIS;
    private static final int BYTES_PER_FACT = 4;
    private static final int SEEDS = 20;
    private static final double LOSS_RATE = 0.05;

    /** Holds the requests that reached the target after it reported leaving, and the bytes sent. */
    private record Cost(double misrouted, double bytes) {}

    /** A router that knows one target. */
    private static final class Router {
        private final TargetDirectory mTargets = TargetDirectory.create();
        private final GossipQueue<Integer> mLeaving = GossipQueue.of(16, f -> 0);
        private final Target mTarget;

        Router() {
            TargetEntry e = new TargetEntry("t", "p", "10.0.0.1:1", "z", 8, false, 0, 1);
            mTargets.apply(StorePosition.of(0, 1), List.of(e), 0);
            mTarget = mTargets.find("t").orElseThrow();
        }

        void onAnswer() {
            if (mTarget.onLeavingAnnounced()) {
                mLeaving.add(mTarget.shortHash());
            }
        }

        void onLeavingReceived(int shortHash) {
            if (mTargets.onLeavingReported(shortHash).isPresent()) {
                mLeaving.add(shortHash);
            }
        }
    }

    private static Cost mean(int routers, double requestsPerSecond, boolean gossip) {
        double misrouted = 0;
        double bytes = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Cost c = run(routers, requestsPerSecond, gossip, new Random(seed));
            misrouted += c.misrouted() / SEEDS;
            bytes += c.bytes() / SEEDS;
        }
        return new Cost(misrouted, bytes);
    }

    private static Cost run(int n, double requestsPerSecond, boolean gossip, Random random) {
        List<Router> routers = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            routers.add(new Router());
        }
        long misrouted = 0;
        long facts = 0;
        for (int step = 0; step < SECONDS * STEPS_PER_SECOND; step++) {
            if (random.nextDouble() < requestsPerSecond / STEPS_PER_SECOND) {
                Router r = routers.get(random.nextInt(n));
                misrouted += r.mTarget.acceptsRequests(step) ? 1 : 0;
                if (r.mTarget.acceptsRequests(step)) {
                    r.onAnswer();
                }
            }
            for (int i = step % STEPS_PER_MESSAGE; gossip && i < n; i += STEPS_PER_MESSAGE) {
                facts += gossip(routers.get(i), routers, random);
            }
        }
        return new Cost(misrouted, facts * BYTES_PER_FACT);
    }

    /** Sends a message to a router chosen at random, unless it is lost. */
    private static int gossip(Router from, List<Router> routers, Random random) {
        List<Integer> batch = from.mLeaving.nextBatch();
        if (!batch.isEmpty() && random.nextDouble() >= LOSS_RATE) {
            Router to = routers.get(random.nextInt(routers.size()));
            batch.forEach(to::onLeavingReceived);
        }
        return batch.size();
    }

    private static void compare(int routers, double requests, double maxMisrouted) {
        Cost withoutGossip = mean(routers, requests, false);
        Cost withGossip = mean(routers, requests, true);
        assertThat(withGossip.misrouted()).isLessThan(withoutGossip.misrouted());
        assertThat(withGossip.misrouted()).isAtMost(maxMisrouted);
        // Each router sends the fact at most four times.
        assertThat(withGossip.bytes()).isAtMost(4.0 * BYTES_PER_FACT * routers);
    }

    /** The limit is the number of requests in four seconds. */
    @Test
    void fiveRouters() {
        compare(5, 12.6, 4 * 12.6);
    }

    @Test
    void twentyThreeRouters() {
        compare(23, 13.2, 4 * 13.2);
    }

    @Test
    void threeHundredAndFortyRouters() {
        compare(340, 9.3, 4 * 9.3);
    }
}
