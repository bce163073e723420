package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Tests how far facts spread by gossip and that messages are bounded. */
class GossipQueueTest {
    /** A router that forwards the facts it learns. */
    private static final class Router {
        private final GossipQueue<PromptHolder> mQueue =
                GossipQueue.of(PromptHolder.MAX_PER_MESSAGE, f -> 0);
        private final Set<PromptHolder> mKnown = new HashSet<>();

        void learn(PromptHolder f) {
            if (mKnown.add(f)) {
                mQueue.add(f);
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

    /** Simulates a round in which each router sends a message, of which one in ten is lost. */
    private static int round(List<Router> all, SplittableRandom random) {
        int facts = 0;
        for (Router r : all) {
            List<PromptHolder> digest = r.mQueue.nextBatch();
            facts += digest.size();
            if (random.nextInt(10) > 0) {
                Router other = all.get(random.nextInt(all.size()));
                digest.forEach(other::learn);
            }
        }
        return facts;
    }

    private static double shareInformed(List<Router> all, PromptHolder f) {
        return (double) all.stream().filter(r -> r.mKnown.contains(f)).count() / all.size();
    }

    @Test
    void factReachesNearlyAllOf340RoutersWithinTwoSeconds() {
        SplittableRandom random = new SplittableRandom(5);
        List<Router> all = routers(340);
        PromptHolder f = new PromptHolder(1, 2);
        all.get(0).learn(f);
        for (long at = 0; at < 2_000; at += LoadGossip.PERIOD_MILLIS) {
            round(all, random);
        }
        assertThat(shareInformed(all, f)).isAtLeast(0.95);
    }

    @Test
    void knownFactIsNoLongerSent() {
        SplittableRandom random = new SplittableRandom(6);
        List<Router> all = routers(33);
        all.get(0).learn(new PromptHolder(1, 2));
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            sent += round(all, random);
        }
        assertThat(sent).isAtMost(33 * 4);
        assertThat(round(all, random)).isEqualTo(0);
    }

    @Test
    void messageSizeIsBounded() {
        GossipQueue<PromptHolder> queue = GossipQueue.of(PromptHolder.MAX_PER_MESSAGE, f -> 0);
        for (int i = 0; i < 10_000; i++) {
            queue.add(new PromptHolder(i, 1));
        }
        assertThat(queue.nextBatch()).hasSize(PromptHolder.MAX_PER_MESSAGE);
    }

    @Test
    void highestPriorityThenNewestIsSentFirst() {
        GossipQueue<Integer> queue = GossipQueue.of(2, f -> f / 100);
        for (int i = 0; i < 90; i++) {
            queue.add(i);
        }
        queue.add(300);
        queue.add(91);
        assertThat(queue.nextBatch()).containsExactly(300, 91).inOrder();
    }

    @Test
    void removedFactIsNotSent() {
        GossipQueue<Integer> queue = GossipQueue.of(2, f -> 0);
        queue.add(1);
        queue.add(2);
        queue.removeIf(f -> f == 1);
        assertThat(queue.nextBatch()).containsExactly(2);
    }
}
