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

/** Tests when targets get shards, and that a change of owner moves only its keys. */
class ShardPlannerTest {
    private final ShardPlanner mPlanner = ShardPlanner.create();

    private ShardTable initialTable(List<Target> pool) {
        return mPlanner.next(ShardTable.empty(), pool, ShardPlanner.Demand.IDLE, 0).orElseThrow();
    }

    @Test
    void everyTargetOfAnIdlePoolGetsAShard() {
        List<Target> pool = TestTargets.ready(5);
        ShardTable t = initialTable(pool);
        assertThat(t.owners()).containsExactly("t0", "t1", "t2", "t3", "t4");
        assertThat(mPlanner.next(t, pool, ShardPlanner.Demand.BALANCED, 10))
                .isEqualTo(Optional.empty());
    }

    @Test
    void joiningTargetOfABusyPoolWaits() {
        List<Target> pool = TestTargets.ready(3);
        ShardTable t = initialTable(pool);
        pool.add(TestTargets.ready("new"));
        assertThat(mPlanner.next(t, pool, ShardPlanner.Demand.BALANCED, 1_000))
                .isEqualTo(Optional.empty());
    }

    /** Its keys return to its cache, so that a joining target must not take its shard. */
    @Test
    void evacuatedTargetKeepsItsShard() {
        List<Target> pool = TestTargets.ready(3);
        ShardTable t = initialTable(pool);
        pool.add(TestTargets.ready("new"));
        assertThat(mPlanner.next(t, pool, ShardPlanner.Demand.BALANCED, 1_000))
                .isEqualTo(Optional.empty());
        pool.get(1).setEvacuated(true, 0);
        assertThat(mPlanner.next(t, pool, ShardPlanner.Demand.BALANCED, 1_500))
                .isEqualTo(Optional.empty());
    }

    @Test
    void joiningTargetTakesOverTheShardOfALeavingOne() {
        List<Target> pool = TestTargets.ready(3);
        ShardTable t = initialTable(pool);
        pool.add(TestTargets.ready("new"));
        assertThat(mPlanner.next(t, pool, ShardPlanner.Demand.BALANCED, 1_000))
                .isEqualTo(Optional.empty());
        TestTargets.leave(pool.get(1));
        ShardTable next = mPlanner.next(t, pool, ShardPlanner.Demand.BALANCED, 1_500).orElseThrow();
        assertThat(next.owners()).containsExactly("t0", "new", "t2").inOrder();
    }

    @Test
    void joiningTargetDoesNotTakeAnOldVacancyAtOnce() {
        List<Target> pool = TestTargets.ready(3);
        ShardTable t = initialTable(pool);
        TestTargets.leave(pool.get(1));
        assertThat(mPlanner.next(t, pool, ShardPlanner.Demand.BALANCED, 1_000))
                .isEqualTo(Optional.empty());
        pool.add(TestTargets.ready("new"));
        assertThat(mPlanner.next(t, pool, ShardPlanner.Demand.BALANCED, 9_000))
                .isEqualTo(Optional.empty());
    }

    @Test
    void joiningTargetOfALoadedPoolGetsAShard() {
        List<Target> pool = TestTargets.ready(2);
        ShardTable t = initialTable(pool);
        pool.forEach(p -> TestTargets.load(p, 40));
        pool.add(TestTargets.ready("new"));
        ShardTable next = mPlanner.next(t, pool, ShardPlanner.Demand.BALANCED, 1_000).orElseThrow();
        assertThat(next.owners()).containsExactly("t0", "t1", "new").inOrder();
    }

    @Test
    void allJoiningTargetsOfAnImbalancedPoolGetShards() {
        List<Target> pool = TestTargets.ready(2);
        ShardTable t = initialTable(pool);
        pool.add(TestTargets.ready("new-a"));
        pool.add(TestTargets.ready("new-b"));
        ShardTable next = mPlanner.next(t, pool, ShardPlanner.Demand.SPILLING, 1_000).orElseThrow();
        assertThat(next.owners()).containsExactly("t0", "t1", "new-a", "new-b").inOrder();
    }

    @Property(tries = 200)
    void takingOverAShardMovesNoOtherKey(
            @ForAll @IntRange(min = 2, max = 20) int size,
            @ForAll @IntRange(max = 1_000_000) int key) {
        List<String> owners = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            owners.add("t" + i);
        }
        ShardTable before = ShardTable.of(owners);
        ShardTable after = before.withOwner(key % size, "new");
        long hash = Hashes.of("key" + key);
        String home = before.preferenceOrder(hash).get(0);
        String expected = home.equals("t" + key % size) ? "new" : home;
        assertThat(after.preferenceOrder(hash).get(0)).isEqualTo(expected);
    }
}
