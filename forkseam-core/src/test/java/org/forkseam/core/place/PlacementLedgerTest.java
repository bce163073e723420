package org.forkseam.core.place;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Tests the selection of engines by outstanding work and held prompts. */
class PlacementLedgerTest {
    private static final double RATE = 40;
    private static final int NONE = PlacementReply.NONE;
    private static final Set<Integer> ENGINES = new TreeSet<>(List.of(1, 2, 3));
    private static final long NOW = 10_000;

    private final PlacementLedger mLedger = PlacementLedger.create();
    private long mNextId;

    /** Returns a query for a digest of the page: 2,520 tokens of its head, 8,620 shared. */
    private PlacementQuery query(long key, long head, int home) {
        return new PlacementQuery(++mNextId, "p", key, head, 2_520, 8_620, 9_200, home);
    }

    private PlacementReply place(PlacementQuery q, long now) {
        return mLedger.place(q, ENGINES, RATE, now);
    }

    private PlacementReply place(long key, long head, int home, long now) {
        return place(query(key, head, home), now);
    }

    private void done(PlacementReply r, boolean ok, double slowdown, long now) {
        assertThat(mLedger.onDone(new PlacementDone(r.id(), r.engine(), ok, slowdown), now))
                .isTrue();
    }

    @Test
    void emptyLedgerPlacesAtHome() {
        for (int home : ENGINES) {
            assertThat(place(100 + home, 200 + home, home, NOW).engine()).isEqualTo(home);
        }
    }

    @Test
    void promptIsPlacedAwayFromABusyHome() {
        assertThat(place(100, 200, 1, NOW).engine()).isEqualTo(1);
        assertThat(place(101, 201, 1, NOW).engine()).isNotEqualTo(1);
    }

    /** Waiting for a prefill in progress is faster than a second prefill of the same prompt. */
    @Test
    void requestWaitsForThePrefillOfItsPrompt() {
        place(100, 200, 1, NOW);
        PlacementReply second = place(100, 200, 1, NOW + 50);
        assertThat(second.engine()).isEqualTo(1);
        assertThat(second.copySource()).isEqualTo(NONE);
    }

    @Test
    void wholePromptIsCopiedFromABusyHolder() {
        done(place(100, 200, 1, NOW), true, 1, NOW + 300);
        place(101, 201, 1, NOW + 300);
        PlacementReply r = place(100, 200, 1, NOW + 300);
        assertThat(r.engine()).isNotEqualTo(1);
        assertThat(r.copySource()).isEqualTo(1);
    }

    @Test
    void headIsCopiedIfNoEngineHoldsTheWholePrompt() {
        done(place(100, 200, 1, NOW), true, 1, NOW + 300);
        PlacementReply r = place(101, 200, 2, NOW + 300);
        assertThat(r.engine()).isEqualTo(2);
        assertThat(r.copySource()).isEqualTo(1);
    }

    @Test
    void promptInPrefillIsNoCopySource() {
        place(100, 200, 1, NOW);
        for (int i = 0; i < 5; i++) {
            assertThat(place(100, 200, 2, NOW + 1).copySource()).isEqualTo(NONE);
        }
    }

    @Test
    void slowEngineGetsLessWork() {
        done(place(100, 200, 1, NOW), true, 2.5, NOW + 300);
        assertThat(place(101, 201, 1, NOW + 300).engine()).isNotEqualTo(1);
        done(place(100, 200, 1, NOW + 300), true, 1, NOW + 400);
        assertThat(place(102, 202, 1, NOW + 2_000).engine()).isEqualTo(1);
    }

    /** A lost report must not keep an engine unused. */
    @Test
    void unreportedPromptExpires() {
        place(100, 200, 1, NOW);
        assertThat(mLedger.dump().get("in_prefill")).isEqualTo(1);
        place(101, 201, 2, NOW + 1_100);
        assertThat(mLedger.dump().get("in_prefill")).isEqualTo(1);
        assertThat(mLedger.dump().get("expired")).isEqualTo(1);
        assertThat(place(102, 202, 1, NOW + 1_100).engine()).isEqualTo(1);
    }

    @Test
    void failedPrefillLeavesNoHolder() {
        done(place(100, 200, 1, NOW), false, 1, NOW + 300);
        PlacementReply r = place(100, 200, 2, NOW + 300);
        assertThat(r.engine()).isEqualTo(2);
        assertThat(r.copySource()).isEqualTo(NONE);
    }

    /** A router that uses another engine tells where the prompt is instead. */
    @Test
    void reportOfAnotherEngineMovesTheHolder() {
        PlacementReply r = place(100, 200, 1, NOW);
        assertThat(mLedger.onDone(new PlacementDone(r.id(), 3, true, 1), NOW + 300)).isTrue();
        assertThat(place(100, 200, 3, NOW + 300).copySource()).isEqualTo(NONE);
        assertThat(mLedger.dump().get("in_prefill")).isEqualTo(1);
        assertThat(place(100, 200, 1, NOW + 300).copySource()).isAnyOf(NONE, 3);
    }

    /** A repeated query is a lost reply; a second placement would count its work twice. */
    @Test
    void repeatedQueryGetsTheSameReply() {
        PlacementQuery q = query(100, 200, 1);
        PlacementReply first = place(q, NOW);
        place(101, 201, 1, NOW);
        assertThat(place(q, NOW + 8)).isEqualTo(first);
        assertThat(mLedger.dump().get("placed")).isEqualTo(2);
    }

    @Test
    void enginesThatAreGoneAreNeitherSelectedNorCopiedFrom() {
        done(place(100, 200, 1, NOW), true, 1, NOW + 300);
        PlacementReply r = mLedger.place(query(100, 200, 1), Set.of(2), RATE, NOW + 300);
        assertThat(r.engine()).isEqualTo(2);
        assertThat(r.copySource()).isEqualTo(NONE);
        assertThat(mLedger.place(query(100, 200, 1), Set.of(), RATE, NOW).engine()).isEqualTo(NONE);
    }

    /** A prompt of an engine that restarts or holds off is not waited for there later. */
    @Test
    void promptsOfAnEngineThatWasAwayAreDropped() {
        place(100, 200, 1, NOW);
        mLedger.place(query(101, 201, 2), Set.of(2, 3), RATE, NOW + 10);
        assertThat(mLedger.dump().get("in_prefill")).isEqualTo(1);
        assertThat(place(100, 200, 3, NOW + 20).engine()).isEqualTo(3);
    }

    /** Bounds the memory of a coordinator that receives no reports. */
    @Test
    void ledgerIsBounded() {
        for (int i = 0; i < 20_000; i++) {
            place(i, -1 - i, 1, NOW);
        }
        assertThat(mLedger.dump().get("parts")).isAtMost(8_192);
        assertThat(mLedger.dump().get("in_prefill")).isAtMost(3 * 512);
    }

    @Test
    void unknownReportIsIgnored() {
        place(100, 200, 1, NOW);
        assertThat(mLedger.onDone(new PlacementDone(77, 1, true, 1), NOW)).isFalse();
    }
}
