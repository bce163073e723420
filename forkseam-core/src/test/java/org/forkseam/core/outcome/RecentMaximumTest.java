package org.forkseam.core.outcome;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.OptionalLong;

/** Tests the greatest of the recent values. */
class RecentMaximumTest {
    private final RecentMaximum mMaximum = RecentMaximum.of(100);

    @Test
    void greatestValueOfOneToTwoWindowsCounts() {
        assertThat(mMaximum.get(0)).isEqualTo(OptionalLong.empty());
        mMaximum.add(7, 10);
        mMaximum.add(5, 60);
        assertThat(mMaximum.get(109)).isEqualTo(OptionalLong.of(7));
        mMaximum.add(3, 120);
        assertThat(mMaximum.get(205)).isEqualTo(OptionalLong.of(7));
        assertThat(mMaximum.get(230)).isEqualTo(OptionalLong.of(3));
    }

    @Test
    void oldValuesAreForgotten() {
        mMaximum.add(7, 10);
        assertThat(mMaximum.get(500)).isEqualTo(OptionalLong.empty());
    }
}
