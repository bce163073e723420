package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the ejection of failing targets and the ramp-up of their traffic. */
class TargetHealthTest {
    private final TargetHealth mHealth = new TargetHealth();

    private void eject(long now) {
        mHealth.onFailure(now);
        mHealth.onFailure(now);
    }

    @Test
    void singleFailureDoesNotEject() {
        mHealth.onFailure(0);
        assertThat(mHealth.trafficShare(1)).isEqualTo(1.0);
    }

    @Test
    void concurrentFailuresEjectOnce() {
        for (int i = 0; i < 50; i++) {
            mHealth.onFailure(0);
        }
        assertThat(mHealth.trafficShare(600)).isGreaterThan(0.0);
    }

    @Test
    void trafficRampsUpAfterEjection() {
        eject(0);
        assertThat(mHealth.trafficShare(100)).isEqualTo(0.0);
        double early = mHealth.trafficShare(600);
        double late = mHealth.trafficShare(4000);
        assertThat(early).isLessThan(0.2);
        assertThat(late).isGreaterThan(early);
        assertThat(mHealth.trafficShare(6000)).isEqualTo(1.0);
    }

    @Test
    void ejectionTimeGrowsForFlappingTarget() {
        long now = 0;
        long last = 0;
        for (int i = 0; i < 5; i++) {
            eject(now);
            long ejectedMillis = 0;
            while (mHealth.trafficShare(now + ejectedMillis) == 0) {
                ejectedMillis += 100;
            }
            assertThat(ejectedMillis).isGreaterThan(last);
            last = ejectedMillis;
            now += ejectedMillis;
            mHealth.onSuccess(now);
        }
    }
}
