package org.forkseam.core.place;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.forkseam.core.util.Hashes;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Tests the division of engines into groups and the selection of their coordinators. */
class EngineGroupsTest {
    private static String coordinator(int group, List<String> routers) {
        return EngineGroups.coordinator("p", group, routers, Hashes::of).orElseThrow();
    }

    private static List<String> routers(int n) {
        return IntStream.range(0, n).mapToObj(i -> "host-" + i).toList();
    }

    @Test
    void countIsAPowerOfTwoWithTwelveEnginesPerGroup() {
        assertThat(EngineGroups.of(0).count()).isEqualTo(1);
        assertThat(EngineGroups.of(23).count()).isEqualTo(1);
        assertThat(EngineGroups.of(29).count()).isEqualTo(2);
        assertThat(EngineGroups.of(348).count()).isEqualTo(16);
        assertThat(EngineGroups.of(830).count()).isEqualTo(64);
    }

    /** A group with few engines would leave its prompts no choice. */
    @Test
    void groupsAreOfSimilarSize() {
        int[] sizes = new int[16];
        for (int i = 0; i < 348; i++) {
            sizes[EngineGroups.of(348).groupOf(Hashes.of("engine-" + i))]++;
        }
        for (int size : sizes) {
            assertThat(size).isAtLeast(10);
            assertThat(size).isAtMost(36);
        }
    }

    /** A router that terminates must not move the groups of other coordinators. */
    @Test
    void onlyGroupsOfARemovedRouterMove() {
        List<String> all = routers(37);
        for (String removed : all) {
            List<String> rest = new ArrayList<>(all);
            rest.remove(removed);
            for (int group = 0; group < 16; group++) {
                String before = coordinator(group, all);
                if (!before.equals(removed)) {
                    assertWithMessage("group %s", group)
                            .that(coordinator(group, rest))
                            .isEqualTo(before);
                }
            }
        }
    }

    @Test
    void thereIsNoCoordinatorWithoutRouters() {
        assertThat(EngineGroups.coordinator("p", 0, List.<String>of(), Hashes::of).isPresent())
                .isFalse();
    }
}
