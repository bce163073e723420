package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.forkseam.core.member.Target;
import org.forkseam.core.util.Hashes;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Tests when targets get seats, and that keys stay where they are. */
class SeatPlannerTest {
    private final SeatPlanner mPlanner = SeatPlanner.create();

    private SeatTable seated(List<Target> pool) {
        return mPlanner.next(SeatTable.empty(), pool, SeatPlanner.Demand.IDLE, 0).orElseThrow();
    }

    @Test
    void everyTargetOfAnIdlePoolGetsASeat() {
        List<Target> pool = Targets.ready(5);
        SeatTable t = seated(pool);
        assertThat(t.holders()).containsExactly("t0", "t1", "t2", "t3", "t4");
        assertThat(mPlanner.next(t, pool, SeatPlanner.Demand.BALANCED, 10))
                .isEqualTo(Optional.empty());
    }

    @Test
    void newcomerOfABusyPoolWaits() {
        List<Target> pool = Targets.ready(3);
        SeatTable t = seated(pool);
        pool.add(Targets.ready("new"));
        assertThat(mPlanner.next(t, pool, SeatPlanner.Demand.BALANCED, 1_000))
                .isEqualTo(Optional.empty());
    }

    /** Its keys come back to what it has read, though a newcomer was there to take the seat. */
    @Test
    void anEvacuatedTargetKeepsItsSeat() {
        List<Target> pool = Targets.ready(3);
        SeatTable t = seated(pool);
        pool.add(Targets.ready("new"));
        assertThat(mPlanner.next(t, pool, SeatPlanner.Demand.BALANCED, 1_000))
                .isEqualTo(Optional.empty());
        pool.get(1).setEvacuated(true, 0);
        assertThat(mPlanner.next(t, pool, SeatPlanner.Demand.BALANCED, 1_500))
                .isEqualTo(Optional.empty());
    }

    @Test
    void newcomerTakesTheSeatOfATargetThatLeaves() {
        List<Target> pool = Targets.ready(3);
        SeatTable t = seated(pool);
        pool.add(Targets.ready("new"));
        assertThat(mPlanner.next(t, pool, SeatPlanner.Demand.BALANCED, 1_000))
                .isEqualTo(Optional.empty());
        Targets.leave(pool.get(1));
        SeatTable next = mPlanner.next(t, pool, SeatPlanner.Demand.BALANCED, 1_500).orElseThrow();
        assertThat(next.holders()).containsExactly("t0", "new", "t2").inOrder();
    }

    @Test
    void newcomerThatCameLongAfterAVacancyDoesNotTakeItAtOnce() {
        List<Target> pool = Targets.ready(3);
        SeatTable t = seated(pool);
        Targets.leave(pool.get(1));
        assertThat(mPlanner.next(t, pool, SeatPlanner.Demand.BALANCED, 1_000))
                .isEqualTo(Optional.empty());
        pool.add(Targets.ready("new"));
        assertThat(mPlanner.next(t, pool, SeatPlanner.Demand.BALANCED, 9_000))
                .isEqualTo(Optional.empty());
    }

    @Test
    void newcomerOfALoadedPoolGetsASeat() {
        List<Target> pool = Targets.ready(2);
        SeatTable t = seated(pool);
        pool.forEach(p -> Targets.load(p, 40));
        pool.add(Targets.ready("new"));
        SeatTable next = mPlanner.next(t, pool, SeatPlanner.Demand.BALANCED, 1_000).orElseThrow();
        assertThat(next.holders()).containsExactly("t0", "t1", "new").inOrder();
    }

    @Test
    void newcomersOfAPoolOutOfBalanceGetSeatsAllAtOnce() {
        List<Target> pool = Targets.ready(2);
        SeatTable t = seated(pool);
        pool.add(Targets.ready("new-a"));
        pool.add(Targets.ready("new-b"));
        SeatTable next = mPlanner.next(t, pool, SeatPlanner.Demand.SPILLING, 1_000).orElseThrow();
        assertThat(next.holders()).containsExactly("t0", "t1", "new-a", "new-b").inOrder();
    }

    @Property(tries = 200)
    void takingASeatMovesNoOtherKey(
            @ForAll @IntRange(min = 2, max = 20) int size,
            @ForAll @IntRange(max = 1_000_000) int key) {
        List<String> holders = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            holders.add("t" + i);
        }
        SeatTable before = SeatTable.of(holders);
        SeatTable after = before.withHolder(key % size, "new");
        long hash = Hashes.of("key" + key);
        String home = before.order(hash).get(0);
        String expected = home.equals("t" + key % size) ? "new" : home;
        assertThat(after.order(hash).get(0)).isEqualTo(expected);
    }
}
