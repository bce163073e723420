package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests the choice among engines whose places are few. */
class FullPlacesTest {
    private static final int PLACES = 12;
    private static final PickRequest REQUEST = PickRequest.of("k", 10_000, SeatTable.empty());

    private final HomePicker mPicker = HomePicker.of(2, 2);
    private final List<Target> mPool = new ArrayList<>();

    FullPlacesTest() {
        for (int i = 0; i < 8; i++) {
            mPool.add(
                    Target.of(new TargetEntry("t" + i, "p", "10.0.0.1:1", "a", PLACES, false, 0)));
        }
    }

    private Target home() {
        return mPicker.pick(REQUEST, mPool, 0).orElseThrow().target();
    }

    /** The mean is 9 here, so that twice the mean alone would have 18 at a target of 12 places. */
    @Test
    void aHomeWithoutAPlaceIsPassedOverWhileOthersHaveRoom() {
        Target home = home();
        mPool.forEach(t -> t.onLoadReported(8, 0));
        home.onLoadReported(16, 0);
        Pick p = mPicker.pick(REQUEST, mPool, 0).orElseThrow();
        assertThat(p.reason()).isEqualTo(Pick.Reason.SPILL);
        assertThat(p.load()).isEqualTo(8);
    }

    @Test
    void aHomeWithAFreePlaceKeepsItsKeys() {
        Target home = home();
        mPool.forEach(t -> t.onLoadReported(4, 0));
        home.onLoadReported(8, 0);
        assertThat(mPicker.pick(REQUEST, mPool, 0).orElseThrow().target()).isSameInstanceAs(home);
    }

    @Test
    void whenAllAreFullAlikeKeysStayAtHome() {
        Target home = home();
        mPool.forEach(t -> t.onLoadReported(14, 0));
        assertThat(mPicker.pick(REQUEST, mPool, 0).orElseThrow().target()).isSameInstanceAs(home);
    }
}
