package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.store.StorePosition;
import org.junit.jupiter.api.Test;

import java.util.Map;

/** Tests which eras of the store a router accepts. */
class StoreEraTest {
    private final StoreEra mEra = new StoreEra();

    private boolean accepts(int era) {
        return mEra.accepts(StorePosition.of(era, 7), "store");
    }

    /** A starting router may find the store in any era, which is not a restore. */
    @Test
    void theFirstEraIsAccepted() {
        assertThat(accepts(2_000_000)).isTrue();
        assertThat(mEra.newest()).isEqualTo(2_000_000);
        assertThat(mEra.restores()).isEqualTo(0);
    }

    @Test
    void aLaterEraIsARestore() {
        accepts(1);
        assertThat(accepts(2)).isTrue();
        assertThat(accepts(2)).isTrue();
        assertThat(accepts(5)).isTrue(); // some were missed
        assertThat(mEra.newest()).isEqualTo(5);
        assertThat(mEra.restores()).isEqualTo(2);
    }

    @Test
    void anImplausibleEraIsCountedAndIgnored() {
        accepts(3);
        assertThat(accepts(2)).isFalse();
        assertThat(accepts(0)).isFalse();
        assertThat(accepts(900_000_000)).isFalse();
        assertThat(mEra.newest()).isEqualTo(3);
        assertThat(mEra.refused()).isEqualTo(Map.of("lower", 1L, "missing", 1L, "jumped", 1L));
        assertThat(accepts(4)).isTrue();
    }

    /** A store without eras is never restored from a backup. */
    @Test
    void aStoreWithoutErasIsAccepted() {
        assertThat(accepts(0)).isTrue();
        assertThat(accepts(0)).isTrue();
        assertThat(mEra.refused()).isEmpty();
    }
}
