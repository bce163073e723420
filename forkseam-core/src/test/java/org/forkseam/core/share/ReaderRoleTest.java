package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests who reads the store for all. */
class ReaderRoleTest {
    private static final long HEARD_MILLIS = 1_000;

    @Test
    void aRouterThatHearsNobodyReads() {
        assertThat(ReaderRole.of(HEARD_MILLIS).isReader(0)).isTrue();
    }

    @Test
    void itLeavesTheReadingToOneThatItHears() {
        ReaderRole role = ReaderRole.of(HEARD_MILLIS);
        role.onHeard(5_000);
        assertThat(role.quietMillis(5_400)).isEqualTo(600);
        role.onHeard(5_900);
        assertThat(role.isReader(6_500)).isFalse();
    }

    @Test
    void itTakesOverFromOneThatIsLost() {
        ReaderRole role = ReaderRole.of(HEARD_MILLIS);
        role.onHeard(5_000);
        assertThat(role.isReader(6_000)).isTrue();
    }
}
