package org.forkseam.core.cfg;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Tests that an accepted configuration never reverts, whatever changes arrive in whatever order.
 */
class ConfigLogTest {
    private static List<ConfigChange> history(int length) {
        List<ConfigChange> out = new ArrayList<>();
        FleetConfig c = FleetConfig.empty();
        for (int i = 1; i <= length; i++) {
            ConfigChange x = change(c, "id" + i, i);
            out.add(x);
            c = c.with(x).orElseThrow();
        }
        return out;
    }

    private static ConfigChange change(FleetConfig parent, String id, int weight) {
        Map<String, Map<String, String>> set =
                Map.of("team t", Map.of("weight", Integer.toString(weight)));
        return ConfigChange.of(parent, id, "op", 0, "", set, Set.of());
    }

    @Property(tries = 300, seed = "11")
    void versionsOnlyIncreaseAndConverge(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 90) int n) {
        List<ConfigChange> all = history(n);
        ConfigLog source = new ConfigLog();
        source.apply(all);
        ConfigLog log = new ConfigLog();
        long last = 0;
        for (int i = 0; i < 200; i++) {
            if (random.nextInt(40) == 0) {
                log = new ConfigLog(); // restart without stored state
                last = 0;
            }
            int from = random.nextInt(n);
            List<ConfigChange> some =
                    new ArrayList<>(all.subList(from, from + random.nextInt(n - from) + 1));
            Collections.shuffle(some, random);
            log.apply(some);
            assertThat(log.current().version()).isAtLeast(last);
            last = log.current().version();
        }
        ConfigLog known = log;
        source.since(last)
                .ifPresentOrElse(known::apply, () -> known.applySnapshot(source.current()));
        assertThat(known.current().hash()).isEqualTo(source.current().hash());
        assertThat(known.current().sections()).isEqualTo(source.current().sections());
    }

    @Test
    void olderSnapshotIsRejected() {
        ConfigLog log = new ConfigLog();
        log.apply(history(3));
        FleetConfig old = FleetConfig.empty().with(history(1).get(0)).orElseThrow();
        assertThat(log.applySnapshot(old)).isFalse();
        assertThat(log.current().version()).isEqualTo(3);
    }

    @Test
    void changeOfAnotherHistoryIsRejected() {
        ConfigLog log = new ConfigLog();
        log.apply(history(2));
        FleetConfig other = FleetConfig.empty().with(change(FleetConfig.empty(), "x", 7)).get();
        FleetConfig other2 = other.with(change(other, "y", 8)).get();
        assertThat(log.apply(List.of(change(other2, "z", 9)))).isFalse();
    }

    @Test
    void tamperedChangeIsRejected() {
        ConfigChange c = history(1).get(0);
        ConfigChange bad =
                new ConfigChange(
                        c.version(),
                        c.parentHash(),
                        c.hash(),
                        c.changeId(),
                        c.author(),
                        c.atMillis(),
                        c.note(),
                        Map.of("team t", Map.of("weight", "99")),
                        Set.of());
        assertThat(FleetConfig.empty().with(bad)).isEmpty();
    }
}
