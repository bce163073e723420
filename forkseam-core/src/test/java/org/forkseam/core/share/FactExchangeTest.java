package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Tests how far facts get that routers pass on, such as which target has read a prompt. */
class FactExchangeTest {
    /** Is a router that passes on what it learns. */
    private static final class Router {
        private final FactExchange<HolderFact> mExchange =
                FactExchange.of(HolderFact.MAX_FACTS, f -> 0);
        private final Set<HolderFact> mKnown = new HashSet<>();

        void learn(HolderFact f) {
            if (mKnown.add(f)) {
                mExchange.add(f);
            }
        }
    }

    private static List<Router> routers(int n) {
        List<Router> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(new Router());
        }
        return all;
    }

    /** Plays a round in which each router tells another, and of ten messages one is lost. */
    private static int round(List<Router> all, SplittableRandom random) {
        int facts = 0;
        for (Router r : all) {
            List<HolderFact> digest = r.mExchange.digest();
            facts += digest.size();
            if (random.nextInt(10) > 0) {
                Router other = all.get(random.nextInt(all.size()));
                digest.forEach(other::learn);
            }
        }
        return facts;
    }

    private static double shareThatKnows(List<Router> all, HolderFact f) {
        return (double) all.stream().filter(r -> r.mKnown.contains(f)).count() / all.size();
    }

    @Test
    void aFactReachesNearlyAllOf340RoutersWithinTwoSeconds() {
        SplittableRandom random = new SplittableRandom(5);
        List<Router> all = routers(340);
        HolderFact f = new HolderFact(1, 2);
        all.get(0).learn(f);
        for (long at = 0; at < 2_000; at += LoadExchange.PERIOD_MILLIS) {
            round(all, random);
        }
        assertThat(shareThatKnows(all, f)).isAtLeast(0.95);
    }

    @Test
    void whatAllKnowIsToldNoMore() {
        SplittableRandom random = new SplittableRandom(6);
        List<Router> all = routers(33);
        all.get(0).learn(new HolderFact(1, 2));
        int told = 0;
        for (int i = 0; i < 30; i++) {
            told += round(all, random);
        }
        assertThat(told).isAtMost(33 * 4);
        assertThat(round(all, random)).isEqualTo(0);
    }

    @Test
    void aMessageHoldsABoundedNumberWhateverHappens() {
        FactExchange<HolderFact> x = FactExchange.of(HolderFact.MAX_FACTS, f -> 0);
        for (int i = 0; i < 10_000; i++) {
            x.add(new HolderFact(i, 1));
        }
        assertThat(x.digest()).hasSize(HolderFact.MAX_FACTS);
    }

    /** What decides something is told before what waits only because there is so much of it. */
    @Test
    void theHighestRankIsToldFirstAndTheNewestAmongEquals() {
        FactExchange<Integer> x = FactExchange.of(2, f -> f / 100);
        for (int i = 0; i < 90; i++) {
            x.add(i);
        }
        x.add(300);
        x.add(91);
        assertThat(x.digest()).containsExactly(300, 91).inOrder();
    }

    @Test
    void whatIsOfNoUseAnyMoreIsNotTold() {
        FactExchange<Integer> x = FactExchange.of(2, f -> 0);
        x.add(1);
        x.add(2);
        x.removeIf(f -> f == 1);
        assertThat(x.digest()).containsExactly(2);
    }
}
