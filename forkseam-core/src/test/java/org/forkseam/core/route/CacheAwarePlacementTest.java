package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.cfg.PoolSpec;
import org.forkseam.core.label.Labels;
import org.forkseam.core.label.Selector;
import org.forkseam.core.load.LoadDigest;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Tests that placement prefers cached prompts within the load bound and excludes unusable targets.
 */
class CacheAwarePlacementTest {
    private static final long NOW = 1_000_000;

    private final PrefixDirectory mPrefixes = PrefixDirectory.of(100);
    private final CacheAwarePlacement mPlacement =
            CacheAwarePlacement.of(mPrefixes, new SplittableRandom(1));
    private final List<TargetView> mTargets = new ArrayList<>();

    private PoolView pool(int n, PoolSpec.Preference prefer) {
        for (int i = 0; i < n; i++) {
            mTargets.add(TargetView.of("t" + i, "d" + i % 3, "127.0.0.1:1", Labels.empty(), 8));
        }
        PoolSpec s = new PoolSpec("p", Selector.all(), 1.25, prefer, 100, Duration.ofSeconds(1));
        return PoolView.of(s, mTargets);
    }

    private void load(int target, int load) {
        mTargets.get(target).onDigest(new LoadDigest("t" + target, NOW, load, 8, false, NOW));
    }

    private static PlacementRequest requestWithHistory(ChatTicket ticket) {
        return new PlacementRequest(5, 1000, 0, 0, true, Optional.ofNullable(ticket));
    }

    @Test
    void ticketGoesFirst() {
        PoolView p = pool(12, PoolSpec.Preference.REUSE);
        ChatTicket ticket = new ChatTicket(5, "t7", 900, NOW - 1000);
        Candidate c = mPlacement.rank(requestWithHistory(ticket), p, NOW).get(0);
        assertThat(c.target().name()).isEqualTo("t7");
        assertThat(c.reason()).isEqualTo(Candidate.Reason.TICKET);
    }

    @Test
    void targetOverTheBoundRanksAfterAllWithCapacity() {
        PoolView p = pool(12, PoolSpec.Preference.REUSE);
        for (int i = 0; i < 12; i++) {
            load(i, i == 7 ? 6 : 4);
        }
        ChatTicket ticket = new ChatTicket(5, "t7", 900, NOW - 1000);
        List<Candidate> ranked = mPlacement.rank(requestWithHistory(ticket), p, NOW);
        assertThat(ranked.get(ranked.size() - 1).target().name()).isEqualTo("t7");
    }

    @Test
    void chatWithoutTicketGoesHomeOnEveryRouter() {
        PoolView p = pool(12, PoolSpec.Preference.REUSE);
        CacheAwarePlacement other =
                CacheAwarePlacement.of(PrefixDirectory.of(1), new SplittableRandom(99));
        String a = mPlacement.rank(requestWithHistory(null), p, NOW).get(0).target().name();
        String b = other.rank(requestWithHistory(null), p, NOW + 500).get(0).target().name();
        assertThat(a).isEqualTo(b);
    }

    @Test
    void sharedPrefixIsPreferredUnlessLoaded() {
        PoolView p = pool(12, PoolSpec.Preference.SKEW);
        mPrefixes.onServed(77, "t3", NOW - 10);
        PlacementRequest r = new PlacementRequest(5, 500, 77, 400, false, Optional.empty());
        assertThat(mPlacement.rank(r, p, NOW).get(0).target().name()).isEqualTo("t3");
        for (int i = 0; i < 12; i++) {
            load(i, i == 3 ? 5 : 4);
        }
        assertThat(mPlacement.rank(r, p, NOW).get(0).target().name()).isNotEqualTo("t3");
    }

    @Test
    void leavingAndEjectedTargetsAreExcluded() {
        PoolView p = pool(4, PoolSpec.Preference.REUSE);
        mTargets.get(0).setLeaving(true);
        mTargets.get(1).health().onFailure(NOW);
        mTargets.get(1).health().onFailure(NOW);
        List<String> names =
                mPlacement.rank(requestWithHistory(null), p, NOW).stream()
                        .map(c -> c.target().name())
                        .toList();
        assertThat(names).containsExactly("t2", "t3");
    }

    @Test
    void allTargetsAreCandidatesInPanicMode() {
        PoolView p = pool(4, PoolSpec.Preference.REUSE);
        for (int i = 0; i < 3; i++) {
            mTargets.get(i).health().onFailure(NOW);
            mTargets.get(i).health().onFailure(NOW);
        }
        assertThat(mPlacement.rank(requestWithHistory(null), p, NOW)).hasSize(4);
    }

    @Test
    void failedDomainGoesLast() {
        PoolView p = pool(6, PoolSpec.Preference.REUSE);
        CandidateQueue order = CandidateQueue.of(mPlacement.rank(requestWithHistory(null), p, NOW));
        TargetView first = order.next(p, NOW).orElseThrow().target();
        order.onFailure(first);
        TargetView second = order.next(p, NOW).orElseThrow().target();
        assertThat(second.failureDomain()).isNotEqualTo(first.failureDomain());
    }
}
