package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;

/** Tests that the retries of all routers together stay within the limit of the fleet. */
class RetryBudgetsTest {
    private static final double SHARE = 0.2;
    private static final double ALLOWANCE = 86;
    private static final int WINDOW = 10_000;
    private static final int STEP = 20;
    private static final int ROUTERS = 23;
    private static final int REQUESTS_PER_STEP = 10;
    private static final int FAILURE_AT = 20_000;
    private static final String POOL = "engines";

    /** Routers restart and forget what they have spent. */
    @Test
    void restartedRoutersStayWithinTheFleetLimit() {
        Fleet fleet = new Fleet(ROUTERS, 1);
        fleet.run(FAILURE_AT);
        fleet.mFailureRate = 0.6;
        fleet.run(FAILURE_AT + 3_000);
        fleet.restart(0, ROUTERS);
        fleet.run(FAILURE_AT + 12_000);
        fleet.assertWithinLimit();
    }

    /** Requests move to other routers after their former routers have spent what they earned. */
    @Test
    void movedRequestsStayWithinTheFleetLimit() {
        Fleet fleet = new Fleet(ROUTERS, 2);
        fleet.run(FAILURE_AT);
        fleet.mFailureRate = 0.9;
        fleet.run(FAILURE_AT + 4_000);
        fleet.leave(0, ROUTERS / 2);
        fleet.run(FAILURE_AT + 12_000);
        fleet.assertWithinLimit();
    }

    /** Routers start while nobody tells them of the others. */
    @Test
    void routersThatKnowNoOthersStayWithinTheFleetLimit() {
        Fleet fleet = new Fleet(ROUTERS, 3);
        fleet.mRequestsPerStep = 1;
        fleet.mKnownRouters = 0;
        fleet.mFailureRate = 1;
        fleet.run(FAILURE_AT);
        fleet.assertWithinLimit();
    }

    /** Routers join that the others have not heard of yet. */
    @Test
    void joiningRoutersStayWithinTheFleetLimit() {
        Fleet fleet = new Fleet(ROUTERS, 4);
        fleet.run(FAILURE_AT);
        fleet.mFailureRate = 0.6;
        fleet.run(FAILURE_AT + 3_000);
        for (int i = 0; i < ROUTERS; i++) {
            fleet.join();
        }
        fleet.run(FAILURE_AT + 12_000);
        fleet.assertWithinLimit();
    }

    /** Routers restart, leave, join and get more or fewer requests at any moment. */
    @Property(tries = 60, seed = "481")
    void anySequenceOfChangesStaysWithinTheFleetLimit(
            @ForAll @IntRange(min = 4, max = 40) int routers, @ForAll long seed) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet(routers, seed);
        int at = 8_000;
        while (at < 40_000) {
            fleet.run(at);
            fleet.mFailureRate = random.nextInt(3) * 0.45;
            fleet.mRequestsPerStep = 1 + random.nextInt(2 * REQUESTS_PER_STEP);
            fleet.change(random);
            at += 200 + random.nextInt(6_000);
        }
        fleet.run(at);
        fleet.assertWithinLimit();
    }

    /** A short failure is retried from what earlier requests have earned. */
    @Test
    void shortFailureIsRetriedAtOnce() {
        Fleet fleet = new Fleet(ROUTERS, 5);
        fleet.run(FAILURE_AT);
        fleet.mFailureRate = 0.25;
        fleet.run(FAILURE_AT + 3_000);
        assertThat(fleet.mDenied).isAtMost(fleet.mRetries.size() / 20);
    }

    /** Routers in virtual time; requests are spread evenly over them, and some attempts fail. */
    private static final class Fleet {
        private final Random mRandom;
        private final List<RetryBudgets> mRouters = new ArrayList<>();
        private final List<Integer> mRequests = new ArrayList<>();
        private final List<Integer> mRetries = new ArrayList<>();
        private int mKnownRouters;
        private int mRequestsPerStep = REQUESTS_PER_STEP;
        private double mFailureRate;
        private int mDenied;
        private int mNow;

        Fleet(int routers, long seed) {
            mRandom = new Random(seed);
            mKnownRouters = routers;
            for (int i = 0; i < routers; i++) {
                mRouters.add(newRouter());
            }
        }

        private RetryBudgets newRouter() {
            RetryBudgets.Bounds bounds = new RetryBudgets.Bounds(SHARE, ALLOWANCE, WINDOW);
            return new RetryBudgets(bounds, () -> mNow, this::knownRouters);
        }

        private OptionalInt knownRouters() {
            return mKnownRouters == 0 ? OptionalInt.empty() : OptionalInt.of(mKnownRouters);
        }

        void restart(int from, int to) {
            for (int i = from; i < to; i++) {
                mRouters.set(i, newRouter());
            }
        }

        void leave(int from, int to) {
            mRouters.subList(from, to).clear();
        }

        void join() {
            mRouters.add(newRouter());
        }

        /** Restarts, removes or adds some routers; the others learn of it at once. */
        void change(Random random) {
            int some = random.nextInt(mRouters.size());
            switch (random.nextInt(4)) {
                case 0 -> restart(0, some);
                case 1 -> leave(0, Math.min(some, mRouters.size() - 2));
                case 2 -> join();
                default -> restart(some, mRouters.size());
            }
            mKnownRouters = Math.max(mKnownRouters, mRouters.size());
        }

        void run(int until) {
            for (; mNow < until; mNow += STEP) {
                for (int i = 0; i < mRequestsPerStep; i++) {
                    request(mRouters.get(mRandom.nextInt(mRouters.size())));
                }
            }
        }

        private void request(RetryBudgets router) {
            mRequests.add(mNow);
            router.pool(POOL).onRequest(mNow);
            if (mRandom.nextDouble() >= mFailureRate) {
                return;
            }
            if (router.pool(POOL).tryRetry(mNow)) {
                mRetries.add(mNow);
            } else {
                mDenied++;
            }
        }

        /** Checks each window that ends with a retry against the most of three request counts. */
        void assertWithinLimit() {
            double excess = 0;
            for (int end : mRetries) {
                int begin = end - WINDOW;
                int requests =
                        IntStream.of(0, WINDOW / 2, WINDOW)
                                .map(back -> count(mRequests, begin - back, end - back))
                                .max()
                                .getAsInt();
                double limit = SHARE * requests + ALLOWANCE;
                excess = Math.max(excess, count(mRetries, begin, end) - limit);
            }
            assertWithMessage("retries above the limit in the worst window")
                    .that(excess)
                    .isAtMost(0.0);
        }

        /** Counts the times after {@code begin} and up to {@code end}; the times are ascending. */
        private static int count(List<Integer> times, int begin, int end) {
            return upTo(times, end) - upTo(times, begin);
        }

        private static int upTo(List<Integer> times, int end) {
            int low = 0;
            int high = times.size();
            while (low < high) {
                int middle = (low + high) / 2;
                if (times.get(middle) <= end) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        }
    }
}
