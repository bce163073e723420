package org.forkseam.core.place;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that requests are placed only while engines may be empty, since each costs datagrams. */
class PlacementPolicyTest {
    private static final String POOL = "p";
    private static final PlacementPolicy.Request REQUEST = request(true, 600, false, false);

    private final PlacementPolicy mPolicy = PlacementPolicy.create();

    private static PlacementPolicy.Request request(
            boolean contended, long sharedTokens, boolean holderKnown, boolean softwareRequired) {
        return new PlacementPolicy.Request(
                POOL, contended, sharedTokens, "home", holderKnown, softwareRequired);
    }

    @Test
    void coldPoolIsPlacedForEightSeconds() {
        mPolicy.onRequest(POOL, 1_000);
        assertThat(mPolicy.isToBePlaced(REQUEST, 1_000)).isTrue();
        mPolicy.onRequest(POOL, 8_999);
        assertThat(mPolicy.isToBePlaced(REQUEST, 8_999)).isTrue();
        assertThat(mPolicy.isToBePlaced(REQUEST, 9_000)).isFalse();
    }

    @Test
    void requestsWithoutAChoiceAreNotPlaced() {
        mPolicy.onRequest(POOL, 0);
        assertThat(mPolicy.isToBePlaced(request(false, 600, false, false), 1)).isFalse();
        assertThat(mPolicy.isToBePlaced(request(true, 0, false, false), 1)).isFalse();
        assertThat(mPolicy.isToBePlaced(request(true, 600, true, false), 1)).isFalse();
        assertThat(mPolicy.isToBePlaced(request(true, 600, false, true), 1)).isFalse();
    }

    /** A router that starts later must not query for prompts that the engines hold. */
    @Test
    void poolOnRecordIsNotPlaced() {
        mPolicy.setWarm(POOL, true);
        mPolicy.onRequest(POOL, 1_000);
        assertThat(mPolicy.isToBePlaced(REQUEST, 1_000)).isFalse();
        mPolicy.setWarm(POOL, false);
        assertThat(mPolicy.isToBePlaced(REQUEST, 1_000)).isTrue();
    }

    @Test
    void promptsOfAHomeThatStartedRecentlyArePlaced() {
        mPolicy.setWarm(POOL, true);
        mPolicy.onRequest(POOL, 0);
        assertThat(mPolicy.isActive(POOL, 49_999)).isFalse();
        mPolicy.onEngineStarted("other", 50_000);
        assertThat(mPolicy.isToBePlaced(REQUEST, 50_001)).isFalse();
        mPolicy.onEngineStarted("home", 50_000);
        assertThat(mPolicy.isActive(POOL, 57_999)).isTrue();
        assertThat(mPolicy.isActive(POOL, 58_000)).isFalse();
        assertThat(mPolicy.isToBePlaced(REQUEST, 57_999)).isTrue();
        assertThat(mPolicy.isToBePlaced(REQUEST, 58_000)).isFalse();
    }

    @Test
    void poolIsRecordedOnceWhenItHasBecomeWarm() {
        assertThat(mPolicy.poolsToRecord(9_000)).isEmpty();
        mPolicy.onRequest(POOL, 1_000);
        assertThat(mPolicy.poolsToRecord(8_999)).isEmpty();
        assertThat(mPolicy.poolsToRecord(9_000)).containsExactly(POOL);
        mPolicy.setWarm(POOL, true);
        assertThat(mPolicy.poolsToRecord(9_001)).isEmpty();
    }
}
