package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the memory of request ids, which must neither grow without bound nor forget too early. */
class RecentIdsTest {
    @Test
    void lastIdsAreKnownAndOlderOnesForgotten() {
        RecentIds ids = new RecentIds();
        assertThat(ids.contains("0")).isFalse();
        for (int i = 0; i < 3 * RecentIds.CAPACITY; i++) {
            ids.add("" + i);
            int oldest = Math.max(0, i - RecentIds.CAPACITY + 1);
            assertThat(ids.contains("" + i)).isTrue();
            assertThat(ids.contains("" + oldest)).isTrue();
            assertThat(ids.contains("" + (oldest - 1))).isFalse();
            assertThat(ids.contains("" + (i + 1))).isFalse();
        }
    }
}
