package org.forkseam.core.admit;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;

/** Tests that a hard quota holds over all routers and follows the team's traffic. */
class QuotaAllocatorTest {
    private static final double QUOTA = 100;
    private static final long STEP_MILLIS = 100;

    /** Returns an allocator that grants from time 0 on. */
    private static QuotaAllocator settled(String router, int routers) {
        QuotaAllocator allocator = new QuotaAllocator();
        long last = -QuotaAllocator.REPORT_INTERVAL_MILLIS;
        for (long at = last - QuotaAllocator.GRANT_MILLIS;
                at <= last;
                at += QuotaAllocator.REPORT_INTERVAL_MILLIS) {
            assertThat(allocator.report(router, 500, QUOTA, routers, at)).isEmpty();
        }
        return allocator;
    }

    @Property(tries = 300, seed = "51")
    void sumOfLimitsNeverExceedsTheQuota(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 12) int routers) {
        QuotaAllocator allocator = settled("r0", routers);
        Map<Integer, Double> granted = new HashMap<>();
        Map<Integer, Long> until = new HashMap<>();
        long now = 0;
        for (int step = 0; step < 200; step++) {
            now += random.nextInt(1500);
            int r = random.nextInt(routers);
            double g =
                    allocator
                            .report("r" + r, random.nextInt(200), QUOTA, routers, now)
                            .orElseThrow();
            granted.put(r, g);
            until.put(r, now + QuotaAllocator.GRANT_MILLIS);
            double sum = 0;
            for (int i = 0; i < routers; i++) {
                boolean holds = until.getOrDefault(i, -1L) >= now;
                sum += holds ? granted.get(i) : QUOTA / routers * QuotaAllocator.UNREPORTED_SHARE;
            }
            assertThat(sum).isAtMost(QUOTA * 1.000001);
        }
    }

    @Test
    void onlyReportingRouterGetsMostOfTheQuota() {
        QuotaAllocator allocator = settled("r1", 10);
        OptionalDouble granted = allocator.report("r1", 500, 100, 10, 0);
        assertThat(granted.getAsDouble()).isWithin(0.01).of(100 - 9 * 10 * 0.25);
    }

    @Test
    void twoBusyRoutersConvergeToEvenShares() {
        QuotaAllocator allocator = new QuotaAllocator();
        OptionalDouble a = OptionalDouble.empty();
        OptionalDouble b = OptionalDouble.empty();
        for (long now = 0; now < 10_000; now += 1000) {
            a = allocator.report("a", 500, 100, 2, now);
            b = allocator.report("b", 500, 100, 2, now);
        }
        assertThat(a.getAsDouble()).isWithin(1).of(50);
        assertThat(b.getAsDouble()).isWithin(1).of(50);
    }

    /** Guards against a coordinator that starts and grants anew what earlier grants still hold. */
    @Test
    void restartedCoordinatorKeepsTheQuota() {
        QuotaShare a = QuotaShare.unreported();
        a.onGrant(settled("a", 4).report("a", 500, 100, 4, 0).getAsDouble(), 0);
        QuotaShare b = QuotaShare.unreported();
        b.onReport(100);
        new QuotaAllocator()
                .report("b", 500, 100, 4, 100)
                .ifPresent(granted -> b.onGrant(granted, 100));
        double unreported = 2 * 100.0 / 4 * QuotaAllocator.UNREPORTED_SHARE;
        assertThat(a.rate(25, 100)).isGreaterThan(80.0);
        assertThat(a.rate(25, 100) + b.rate(25, 100) + unreported).isAtMost(100.0);
    }

    /** Guards against a wait that lasts longer than what was granted before. */
    @Test
    void restartedCoordinatorGrantsOnceEarlierGrantsHaveExpired() {
        QuotaAllocator allocator = new QuotaAllocator();
        for (long now = 0; now <= QuotaAllocator.GRANT_MILLIS; now += 500) {
            assertThat(allocator.report("a", 500, 100, 4, now)).isEmpty();
        }
        OptionalDouble granted =
                allocator.report("a", 500, 100, 4, QuotaAllocator.GRANT_MILLIS + 1);
        assertThat(granted.getAsDouble()).isWithin(0.01).of(100 - 3 * 25 * 0.25);
    }

    /** Guards against a grant of what a router that waited uses before it is granted a rate. */
    @Test
    void evenSharesOfRoutersThatWaitedAreNotGrantedToOthers() {
        QuotaAllocator allocator = new QuotaAllocator();
        allocator.report("a", 500, 100, 2, 0);
        allocator.report("b", 0, 100, 2, 500);
        OptionalDouble granted =
                allocator.report("a", 500, 100, 2, QuotaAllocator.GRANT_MILLIS + 1);
        assertThat(granted.getAsDouble()).isAtMost(50.0);
    }

    /**
     * Guards against rates above the quota while coordinators end, are missing for up to 8 s and
     * start, and routers become busy and quiet.
     */
    @Property(tries = 100, seed = "42")
    void quotaHoldsAcrossChangesOfTheCoordinator(
            @ForAll Random random, @ForAll("fleetSizes") int routers) {
        List<ModelRouter> all = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            all.add(new ModelRouter("r" + i, random.nextInt(10)));
        }
        Optional<QuotaAllocator> coordinator = Optional.of(new QuotaAllocator());
        long changeAt = 8_000;
        for (long now = 0; now < 60_000; now += STEP_MILLIS) {
            if (now >= changeAt) {
                boolean missing = coordinator.isPresent() && random.nextBoolean();
                coordinator = missing ? Optional.empty() : Optional.of(new QuotaAllocator());
                changeAt = now + STEP_MILLIS * (1 + random.nextInt(80));
            }
            for (ModelRouter r : all) {
                r.step(now, coordinator, routers, random);
            }
            double sum = 0;
            for (ModelRouter r : all) {
                sum += r.mShare.rate(QUOTA / routers, now);
            }
            assertThat(sum).isAtMost(QUOTA * 1.000001);
        }
    }

    @Provide
    Arbitrary<Integer> fleetSizes() {
        return Arbitraries.of(1, 2, 5, 23, 340);
    }

    /** A router that reports each second while it is busy. */
    private static final class ModelRouter {
        private final String mName;
        private final int mPhase;
        private final QuotaShare mShare = QuotaShare.unreported();
        private boolean mBusy;

        ModelRouter(String name, int phase) {
            mName = name;
            mPhase = phase;
        }

        void step(long now, Optional<QuotaAllocator> coordinator, int routers, Random random) {
            if ((now / STEP_MILLIS + mPhase) % 10 != 0) {
                return;
            }
            mBusy = random.nextInt(8) == 0 ? !mBusy : mBusy;
            if (!mBusy) {
                mShare.onLowDemand();
                return;
            }
            mShare.onReport(now);
            coordinator
                    .map(c -> c.report(mName, random.nextInt(200), QUOTA, routers, now))
                    .orElse(OptionalDouble.empty())
                    .ifPresent(rate -> mShare.onGrant(rate, now));
        }
    }
}
