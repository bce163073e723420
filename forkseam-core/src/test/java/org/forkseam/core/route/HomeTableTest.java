package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Tests that a change of members moves only its share of the keys, so that routers with similar
 * tables mostly agree.
 */
class HomeTableTest {
    private static final int KEYS = 4000;

    private static List<HomeTable.Member> members(int n) {
        List<HomeTable.Member> out = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            out.add(new HomeTable.Member("t" + i, 8));
        }
        return out;
    }

    private static String home(HomeTable t, long key) {
        return t.members().get(t.home(key, 0)).name();
    }

    private static double shareMoved(HomeTable a, HomeTable b) {
        int moved = 0;
        for (int k = 0; k < KEYS; k++) {
            moved += home(a, k * 7919L).equals(home(b, k * 7919L)) ? 0 : 1;
        }
        return (double) moved / KEYS;
    }

    @Test
    void removingATargetMovesOnlyItsShare() {
        List<HomeTable.Member> all = members(12);
        double moved = shareMoved(HomeTable.of(all), HomeTable.of(all.subList(0, 11)));
        assertThat(moved).isLessThan(1.0 / 12 * 1.3);
    }

    @Test
    void routersWithDifferentListsMostlyAgree() {
        List<HomeTable.Member> all = members(70);
        HomeTable a = HomeTable.of(all.subList(0, 68));
        HomeTable b = HomeTable.of(all.subList(2, 70));
        assertThat(shareMoved(a, b)).isLessThan(4.0 / 70 * 1.3);
    }

    @Test
    void keysAreDistributedByWeight() {
        List<HomeTable.Member> all = new ArrayList<>(members(9));
        all.add(new HomeTable.Member("big", 24));
        HomeTable t = HomeTable.of(all);
        int big = 0;
        for (int k = 0; k < KEYS; k++) {
            big += home(t, k * 31L).equals("big") ? 1 : 0;
        }
        assertThat((double) big / KEYS).isWithin(0.04).of(24.0 / (9 * 8 + 24));
    }

    @Property(tries = 15, seed = "5")
    void incrementalBuildEqualsFullBuild(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 9) int start) {
        List<HomeTable.Member> current = new ArrayList<>(members(start));
        HomeTable t = HomeTable.of(current);
        for (int i = 0; i < 4; i++) {
            if (current.size() > 1 && random.nextBoolean()) {
                current.remove(random.nextInt(current.size()));
            } else {
                current.add(
                        random.nextInt(current.size() + 1), new HomeTable.Member("n" + i, 5 + i));
            }
            t = t.with(current);
        }
        HomeTable full = HomeTable.of(current);
        for (int k = 0; k < 500; k++) {
            for (int rank = 0; rank < full.homesPerKey(); rank++) {
                assertThat(t.home(k, rank)).isEqualTo(full.home(k, rank));
            }
        }
    }
}
