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
 * Tests what routers' telling each other of a leaving target buys, and what it costs.
 *
 * <p>The load answered: the store is away for twelve seconds, and a target says in its answers that
 * it leaves. Routers and requests for that target as in the fleets served and in the one aimed at
 * (7,700 requests a second over 830 targets and 340 routers). Requests that reach the target after
 * its word, means of 20 seeds, if each router learns for itself and if they tell each other: 5.0
 * and 2.6 with 5 routers, 23.0 and 5.2 with 23, 92.9 and 9.1 of some 112 with 340; for 16 bytes a
 * router and target that leaves.
 */
class LeavingNewsTest {
    private static final int SECONDS = 12;
    private static final int TURNS_A_SECOND = 1_000;
    private static final int TURNS_A_MESSAGE = (int) LoadExchange.PERIOD_MILLIS;
    private static final int BYTES_A_FACT = 4;
    private static final int SEEDS = 20;
    private static final double LOST = 0.05;

    /** Holds what a run came to: requests that reached the target after its word, and bytes. */
    private record Cost(double reached, double bytes) {}

    /** Is a router that knows the one target. */
    private static final class Router {
        private final TargetDirectory mTargets = TargetDirectory.create();
        private final FactExchange<Integer> mNews = FactExchange.of(16, f -> 0);
        private final Target mTarget;

        Router() {
            TargetEntry e = new TargetEntry("t", "p", "10.0.0.1:1", "z", 8, false, 0, 1);
            mTargets.apply(StorePosition.of(0, 1), List.of(e), 0);
            mTarget = mTargets.find("t").orElseThrow();
        }

        void onAnswer() {
            if (mTarget.onLeavingAnnounced()) {
                mNews.add(mTarget.shortHash());
            }
        }

        void onToldLeaving(int start) {
            if (mTargets.onLeavingReported(start).isPresent()) {
                mNews.add(start);
            }
        }
    }

    private static Cost mean(int routers, double requestsASecond, boolean tells) {
        double reached = 0;
        double bytes = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Cost c = run(routers, requestsASecond, tells, new Random(seed));
            reached += c.reached() / SEEDS;
            bytes += c.bytes() / SEEDS;
        }
        return new Cost(reached, bytes);
    }

    private static Cost run(int n, double requestsASecond, boolean tells, Random random) {
        List<Router> routers = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            routers.add(new Router());
        }
        long reached = 0;
        long facts = 0;
        for (int turn = 0; turn < SECONDS * TURNS_A_SECOND; turn++) {
            if (random.nextDouble() < requestsASecond / TURNS_A_SECOND) {
                Router r = routers.get(random.nextInt(n));
                reached += r.mTarget.acceptsRequests(turn) ? 1 : 0;
                if (r.mTarget.acceptsRequests(turn)) {
                    r.onAnswer();
                }
            }
            for (int i = turn % TURNS_A_MESSAGE; tells && i < n; i += TURNS_A_MESSAGE) {
                facts += tell(routers.get(i), routers, random);
            }
        }
        return new Cost(reached, facts * BYTES_A_FACT);
    }

    /** A message to one other router, chosen at random; some are lost. */
    private static int tell(Router from, List<Router> routers, Random random) {
        List<Integer> news = from.mNews.digest();
        if (!news.isEmpty() && random.nextDouble() >= LOST) {
            Router to = routers.get(random.nextInt(routers.size()));
            news.forEach(to::onToldLeaving);
        }
        return news.size();
    }

    private static void compare(int routers, double requests, double mostReached) {
        Cost alone = mean(routers, requests, false);
        Cost told = mean(routers, requests, true);
        assertThat(told.reached()).isLessThan(alone.reached());
        assertThat(told.reached()).isAtMost(mostReached);
        // Each router that learns it passes it on four times: no more with more routers.
        assertThat(told.bytes()).isAtMost(4.0 * BYTES_A_FACT * routers);
    }

    /** Four seconds' requests without any of this: the promise is a few seconds. */
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
