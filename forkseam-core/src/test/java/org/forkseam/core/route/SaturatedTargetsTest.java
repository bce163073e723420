package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests picking among targets with few slots. */
class SaturatedTargetsTest {
    private static final int SLOTS = 12;
    private static final PickRequest REQUEST = PickRequest.of("k", 10_000, ShardTable.empty());

    private final BoundedLoadPicker mPicker = BoundedLoadPicker.of(2, 2);
    private final List<Target> mPool = new ArrayList<>();

    SaturatedTargetsTest() {
        for (int i = 0; i < 8; i++) {
            mPool.add(Target.of(new TargetEntry("t" + i, "p", "10.0.0.1:1", "a", SLOTS, false, 0)));
        }
    }

    private Target home() {
        return mPicker.pick(REQUEST, mPool, 0).orElseThrow().target();
    }

    /**
     * The mean load is 9: a bound of twice the mean alone would allow 18 on a target with 12 slots.
     */
    @Test
    void saturatedHomeSpillsWhileOthersHaveCapacity() {
        Target home = home();
        mPool.forEach(t -> t.onLoadReported(8, 0));
        home.onLoadReported(16, 0);
        Pick p = mPicker.pick(REQUEST, mPool, 0).orElseThrow();
        assertThat(p.reason()).isEqualTo(Pick.Reason.SPILL);
        assertThat(p.load()).isEqualTo(8);
    }

    @Test
    void homeWithFreeSlotsKeepsItsKeys() {
        Target home = home();
        mPool.forEach(t -> t.onLoadReported(4, 0));
        home.onLoadReported(8, 0);
        assertThat(mPicker.pick(REQUEST, mPool, 0).orElseThrow().target()).isSameInstanceAs(home);
    }

    @Test
    void equallySaturatedTargetsKeepTheirKeys() {
        Target home = home();
        mPool.forEach(t -> t.onLoadReported(14, 0));
        assertThat(mPicker.pick(REQUEST, mPool, 0).orElseThrow().target()).isSameInstanceAs(home);
    }
}
