package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** A failing target loses its traffic and gets it back by a ramp. */
class TargetHealthTest {
    private final TargetHealth mHealth = new TargetHealth();

    private void eject(long now) {
        mHealth.onFailure(now);
        mHealth.onFailure(now);
    }

    @Test
    void oneFailureIsForgiven() {
        mHealth.onFailure(0);
        assertThat(mHealth.share(1)).isEqualTo(1.0);
    }

    @Test
    void manyRequestsFailingAtOnceEjectOnlyOnce() {
        for (int i = 0; i < 50; i++) {
            mHealth.onFailure(0);
        }
        assertThat(mHealth.share(600)).isGreaterThan(0.0);
    }

    @Test
    void comesBackByARamp() {
        eject(0);
        assertThat(mHealth.share(100)).isEqualTo(0.0);
        double early = mHealth.share(600);
        double late = mHealth.share(4000);
        assertThat(early).isLessThan(0.2);
        assertThat(late).isGreaterThan(early);
        assertThat(mHealth.share(6000)).isEqualTo(1.0);
    }

    @Test
    void flappingTargetStaysOutLongerEachTime() {
        long now = 0;
        long last = 0;
        for (int i = 0; i < 5; i++) {
            eject(now);
            long out = 0;
            while (mHealth.share(now + out) == 0) {
                out += 100;
            }
            assertThat(out).isGreaterThan(last);
            last = out;
            now += out;
            mHealth.onSuccess(now);
        }
    }
}
