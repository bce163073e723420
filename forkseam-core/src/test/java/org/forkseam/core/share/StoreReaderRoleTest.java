package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which router reads the store on behalf of all. */
class StoreReaderRoleTest {
    private static final long READER_TIMEOUT_MILLIS = 1_000;

    @Test
    void routerThatHearsNoReaderReads() {
        assertThat(StoreReaderRole.of(READER_TIMEOUT_MILLIS).isReader(0)).isTrue();
    }

    @Test
    void standsByWhileAReaderIsHeard() {
        StoreReaderRole role = StoreReaderRole.of(READER_TIMEOUT_MILLIS);
        role.onReaderHeard(5_000);
        assertThat(role.standbyMillis(5_400)).isEqualTo(600);
        role.onReaderHeard(5_900);
        assertThat(role.isReader(6_500)).isFalse();
    }

    @Test
    void takesOverFromALostReader() {
        StoreReaderRole role = StoreReaderRole.of(READER_TIMEOUT_MILLIS);
        role.onReaderHeard(5_000);
        assertThat(role.isReader(6_000)).isTrue();
    }
}
