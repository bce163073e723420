package org.forkseam.core.admit;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.admit.PoolModel.Kind;
import org.forkseam.core.admit.PoolModel.Result;
import org.forkseam.core.admit.PoolModel.Setup;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Tests {@link PoolAdmission} against the target figures of docs/design/hard-load.md, part 3, with
 * a model of a pool behind few routers and behind many routers that observe few results each.
 */
class PoolAdmissionTest {
    private static final Kind URGENT = new Kind(1, 0, "a", 1);
    private static final Kind OTHER = new Kind(1, 1, "b", 1);
    private static final LongToDoubleFunction OVERLOAD = t -> 1.4;
    private static final LongToDoubleFunction BURST = t -> t >= 3_000 && t < 8_000 ? 2 : 0.8;
    private static final long WARM_UP_MILLIS = 2_000;
    private static final long END_MILLIS = 12_000;
    private static final int SEEDS = 4;

    private static Setup setup(int routers, LongToDoubleFunction load, Kind... kinds) {
        return new Setup(routers, List.of(kinds), load, Optional.of(PressureShare::new), false);
    }

    private static Setup with(Setup s, Optional<PoolModel.ControllerFactory> controller) {
        return new Setup(s.routers(), s.kinds(), s.load(), controller, s.reportsLoad());
    }

    private static PoolModel run(Setup setup, long seed) {
        PoolModel m = new PoolModel(setup, seed);
        m.run(END_MILLIS);
        return m;
    }

    /** Returns the mean of a figure over the seeds. */
    private static double mean(Setup setup, ToDoubleFunction<PoolModel> figure) {
        double sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            sum += figure.applyAsDouble(run(setup, seed));
        }
        return sum / SEEDS;
    }

    private static boolean isWarm(Result r) {
        return r.arrivedAt() >= WARM_UP_MILLIS;
    }

    private static Predicate<Result> priority(int p) {
        return r -> isWarm(r) && r.kind().priority() == p;
    }

    private static double goodput(PoolModel m) {
        return m.goodput(WARM_UP_MILLIS, END_MILLIS);
    }

    private static double urgentInTime(PoolModel m) {
        return m.fraction(priority(0), Result::inTime);
    }

    // ---------------------------------------------------------------- lasting overload

    /** Guards against work that ends too late, and against urgent requests behind others. */
    @ParameterizedTest
    @ValueSource(ints = {30, 340})
    void overloadedPoolServesItsCapacityInTimeAndUrgentRequestsFirst(int routers) {
        Setup s = setup(routers, OVERLOAD, URGENT, OTHER);
        assertThat(mean(s, PoolAdmissionTest::goodput)).isAtLeast(0.9);
        assertThat(mean(s, PoolAdmissionTest::urgentInTime)).isAtLeast(0.95);
    }

    /** Guards against refusals that cost the caller the time for another try. */
    @ParameterizedTest
    @ValueSource(ints = {30, 340})
    void refusalsArriveAtOnce(int routers) {
        assertThat(run(setup(routers, OVERLOAD, URGENT, OTHER), 1).maxRejectMillis()).isAtMost(50);
        assertThat(run(setup(routers, BURST, URGENT, OTHER), 1).maxRejectMillis()).isAtMost(50);
    }

    /** Guards against an admission that is no better than none, or than fixed windows. */
    @ParameterizedTest
    @ValueSource(ints = {30, 340})
    void servesMoreThanWithoutAdmissionAndThanFixedWindows(int routers) {
        Setup s = setup(routers, OVERLOAD, URGENT, OTHER);
        double adaptive = goodput(run(s, 1));
        double windows = goodput(run(with(s, Optional.of(WindowShare::new)), 1));
        double none = goodput(run(with(s, Optional.empty()), 1));
        assertThat(adaptive).isGreaterThan(windows + 0.1);
        assertThat(adaptive).isGreaterThan(none + 0.5);
    }

    // ---------------------------------------------------------------- changes of the load

    /** Guards against a share that stays low, or targets' queues that stay long, after a burst. */
    @ParameterizedTest
    @ValueSource(ints = {30, 340})
    void goodputRecoversWithinTwoSecondsOfABurst(int routers) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            PoolModel m = run(setup(routers, BURST, URGENT, OTHER), seed);
            double before = m.goodput(1_000, 3_000);
            for (long from = 10_000; from < END_MILLIS; from += 1_000) {
                assertThat(m.goodput(from, from + 1_000)).isAtLeast(0.9 * before);
            }
        }
    }

    /** Guards against rejections because of single late answers. */
    @ParameterizedTest
    @ValueSource(ints = {30, 340})
    void hardlyAnyRequestIsRejectedWhileCapacitySuffices(int routers) {
        Setup s = setup(routers, t -> 0.8, URGENT, OTHER);
        double rejected = mean(s, m -> m.fraction(r -> true, r -> !r.answered()));
        assertThat(rejected).isLessThan(1.0 / 200);
    }

    /** Guards against a share that starts to follow an overload too late. */
    @ParameterizedTest
    @ValueSource(ints = {30, 340})
    void startedRoutersAdaptWithinOneSecond(int routers) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            PoolModel m = new PoolModel(setup(routers, OVERLOAD, URGENT, OTHER), seed);
            double[] share = new double[1];
            m.at(1_000, t -> share[0] = m.meanShare(0, routers, t));
            m.run(1_100);
            assertThat(share[0]).isLessThan(0.8);
        }
    }

    /** Guards against routers that overload the pool when they start, by the loss of state. */
    @ParameterizedTest
    @ValueSource(ints = {30, 340})
    void restartOfATenthOfTheRoutersDoesNotOverloadThePool(int routers) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            PoolModel m = new PoolModel(setup(routers, OVERLOAD, URGENT, OTHER), seed);
            m.at(6_000, t -> m.restartRouters(routers / 10, t));
            double[] share = new double[1];
            m.at(7_000, t -> share[0] = m.meanShare(0, routers / 10, t));
            m.run(END_MILLIS);
            assertThat(share[0]).isLessThan(0.8);
            assertThat(m.goodput(6_000, 8_000)).isAtLeast(0.85);
        }
    }

    // ---------------------------------------------------------------- fairness

    /** Guards against priorities or teams that get nothing while others are served. */
    @ParameterizedTest
    @ValueSource(ints = {30, 340})
    void noPriorityOrTeamIsStarved(int routers) {
        List<Kind> kinds =
                List.of(
                        new Kind(4, 0, "a", 1),
                        new Kind(4, 1, "b", 1),
                        new Kind(1.5, 2, "c", 1),
                        new Kind(0.5, 2, "d", 1));
        PoolModel m = run(setup(routers, OVERLOAD, kinds.toArray(Kind[]::new)), 1);
        double all = m.fraction(PoolAdmissionTest::isWarm, Result::answered);
        for (Kind k : kinds) {
            double begun = m.fraction(r -> isWarm(r) && r.kind().equals(k), Result::answered);
            assertThat(begun).isAtLeast(0.3 * all);
        }
    }

    /** Guards against large requests that are rejected or late because small ones come first. */
    @ParameterizedTest
    @ValueSource(ints = {30, 340})
    void largeRequestsAreNotStarved(int routers) {
        Kind large = new Kind(0.2, 1, "b", 4);
        Setup s = setup(routers, OVERLOAD, URGENT, new Kind(0.8, 1, "b", 1), large);
        PoolModel m = run(s, 1);
        double small = m.fraction(r -> priority(1).test(r) && r.kind().size() == 1, Result::inTime);
        double big = m.fraction(r -> isWarm(r) && r.kind().equals(large), Result::inTime);
        assertThat(big).isAtLeast(0.3 * small);
    }

    // ---------------------------------------------------------------- single decisions

    private static AdmissionRequest request(int priority, long receivedMillis) {
        return new AdmissionRequest(priority, 400, receivedMillis, receivedMillis + 1_000, "");
    }

    private static Target fullAt(long now) {
        Target t = Target.of(new TargetEntry("t", "p", "a:1", "z", 1, false, 0));
        t.onRequestRefused(now);
        return t;
    }

    /** Guards against requests that are sent to targets known to be full. */
    @Test
    void requestIsHeldUntilAFullTargetIsExpectedToHaveRoom() {
        PoolAdmission a = PoolAdmission.of(new Random(1), 0);
        List<Target> full = List.of(fullAt(0));
        AdmissionRequest r = request(1, 0);
        Decision d = a.decide(r, full, 0);
        assertThat(d).isInstanceOf(Decision.Hold.class);
        long until = ((Decision.Hold) d).untilMillis();
        assertThat(a.held()).containsExactly(r);
        assertThat(a.decideAdmitted(r, full, until - 1)).isInstanceOf(Decision.Hold.class);
        assertThat(a.decideAdmitted(r, full, until)).isInstanceOf(Decision.Begin.class);
        assertThat(a.held()).isEmpty();
    }

    /** Guards against requests that wait although they can no longer begin soon enough. */
    @Test
    void requestIsRejectedIfNoSlotIsExpectedSoonEnough() {
        PoolAdmission a = PoolAdmission.of(new Random(1), 0);
        Decision d = a.decide(request(0, -50), List.of(fullAt(0)), 0);
        assertThat(d).isInstanceOf(Decision.Reject.class);
        assertThat(((Decision.Reject) d).retryAfterMillis()).isAtLeast(100);
        assertThat(a.held()).isEmpty();
    }

    /** Guards against unbounded waiting, and against less urgent requests that begin first. */
    @Test
    void holdQueueIsBoundedAndOrdered() {
        PoolAdmission a = PoolAdmission.of(new Random(1), 0);
        List<Target> full = List.of(fullAt(0));
        for (int i = 0; i < 64; i++) {
            Decision d = a.decide(request(1 - i % 2, -i % 10), full, 0);
            assertThat(d).isInstanceOf(Decision.Hold.class);
        }
        assertThat(a.decide(request(0, 0), full, 0)).isInstanceOf(Decision.Reject.class);
        assertThat(a.held())
                .isInOrder(
                        Comparator.comparingInt(AdmissionRequest::priority)
                                .thenComparingLong(AdmissionRequest::receivedMillis));
        a.remove(a.held().get(0));
        assertThat(a.held()).hasSize(63);
    }

    @Test
    void shareIsRestoredWhenAnswersAreMissing() {
        PoolAdmission a = PoolAdmission.of(new Random(1), 0);
        for (int i = 0; i < 50; i++) {
            a.onFull(i);
        }
        assertThat(a.share(60)).isLessThan(0.5);
        assertThat(a.share(2_100)).isEqualTo(1.0);
        assertThat(a.isShort(3_200)).isFalse();
    }

    /** A few slow targets make some answers late while all others have room. */
    @Test
    void lateAnswersOfFewTargetsAreNoShortage() {
        PoolAdmission admission = PoolAdmission.of(new SplittableRandom(1), 0);
        long now = 0;
        for (int i = 0; i < 1_000; i++) {
            now += 20;
            admission.onAnswered(1, i % 6 == 0 ? 300 : 40, 150, now);
        }
        assertThat(admission.share(now)).isEqualTo(1.0);
        assertThat(admission.isShort(now)).isFalse();
    }
}
