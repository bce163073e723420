package org.forkseam.core.admit;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** Tests that a hard quota holds over all routers and follows the team's traffic. */
class QuotaAllocatorTest {
    @Property(tries = 300, seed = "51")
    void sumOfLimitsNeverExceedsTheQuota(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 12) int routers) {
        QuotaAllocator allocator = new QuotaAllocator();
        Map<Integer, Double> granted = new HashMap<>();
        Map<Integer, Long> until = new HashMap<>();
        long now = 0;
        double quota = 100;
        for (int step = 0; step < 200; step++) {
            now += random.nextInt(1500);
            int r = random.nextInt(routers);
            granted.put(r, allocator.report("r" + r, random.nextInt(200), quota, routers, now));
            until.put(r, now + QuotaAllocator.GRANT_MILLIS);
            double sum = 0;
            for (int i = 0; i < routers; i++) {
                boolean holds = until.getOrDefault(i, -1L) >= now;
                sum += holds ? granted.get(i) : quota / routers * QuotaAllocator.UNREPORTED_SHARE;
            }
            assertThat(sum).isAtMost(quota * 1.000001);
        }
    }

    @Test
    void onlyReportingRouterGetsMostOfTheQuota() {
        QuotaAllocator allocator = new QuotaAllocator();
        double granted = allocator.report("r1", 500, 100, 10, 0);
        assertThat(granted).isWithin(0.01).of(100 - 9 * 10 * 0.25);
    }

    @Test
    void twoBusyRoutersConvergeToEvenShares() {
        QuotaAllocator allocator = new QuotaAllocator();
        double a = 0;
        double b = 0;
        for (long now = 0; now < 10_000; now += 1000) {
            a = allocator.report("a", 500, 100, 2, now);
            b = allocator.report("b", 500, 100, 2, now);
        }
        assertThat(a).isWithin(1).of(50);
        assertThat(b).isWithin(1).of(50);
    }

    /** Guards against a coordinator that starts and grants anew what earlier grants still hold. */
    @Test
    void restartedCoordinatorKeepsTheQuota() {
        double held = new QuotaAllocator().report("a", 500, 100, 4, 0);
        double granted = new QuotaAllocator().report("b", 500, 100, 4, 100);
        double unreported = 2 * 100.0 / 4 * QuotaAllocator.UNREPORTED_SHARE;
        assertThat(held + granted + unreported).isAtMost(100.0);
    }
}
