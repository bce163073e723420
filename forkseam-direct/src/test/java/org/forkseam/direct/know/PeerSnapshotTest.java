package org.forkseam.direct.know;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.forkseam.core.member.Evacuations;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.core.traffic.Team;
import org.forkseam.core.traffic.TrafficConfig;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/** Tests what a router that starts while the store is away learns from another one. */
class PeerSnapshotTest {
    private static final Team TEAM = new Team("t", OptionalInt.empty(), List.of());

    private static byte[] snapshot(boolean keyRequired, Map<String, Team> teams) {
        TrafficConfig c =
                TrafficConfig.of(
                        3,
                        List.of(),
                        List.of(),
                        teams,
                        CallerLimits.defaults().withKeyRequired(keyRequired));
        return PeerSnapshot.of(c, StorePosition.NONE, List.of(), List.of(), Evacuations.create())
                .write();
    }

    /** Returns the snapshot as routers write it that do not know of teams without keys. */
    private static byte[] ofEarlierRouter(byte[] snapshot) {
        String json = new String(snapshot, StandardCharsets.UTF_8);
        assertThat(json).contains("\"keyRequired\"");
        return json.replaceAll(",\"keyRequired\":(true|false)", "")
                .getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void requirementOfAKeySurvives() throws Exception {
        assertThat(PeerSnapshot.read(snapshot(true, Map.of())).config().requiresKey()).isTrue();
        assertThat(PeerSnapshot.read(snapshot(false, Map.of())).config().requiresKey()).isFalse();
        assertThat(PeerSnapshot.read(snapshot(true, Map.of("k", TEAM))).config().requiresKey())
                .isTrue();
    }

    /** Guards against teams without keys that count as no teams in an earlier router's snapshot. */
    @Test
    void snapshotThatDoesNotTellWhetherKeysAreRequiredIsNotUsed() {
        byte[] json = ofEarlierRouter(snapshot(true, Map.of()));
        IOException e = assertThrows(IOException.class, () -> PeerSnapshot.read(json));
        assertThat(e).hasMessageThat().contains("whether keys are required");
    }

    @Test
    void earlierSnapshotWithKeysIsUsed() throws Exception {
        byte[] json = ofEarlierRouter(snapshot(true, Map.of("k", TEAM)));
        assertThat(PeerSnapshot.read(json).config().requiresKey()).isTrue();
    }

    @Test
    void malformedSnapshotsAreRejected() {
        for (String json : List.of("", "null", "{}", "[]", "{\"limits\":{}}")) {
            assertThrows(
                    IOException.class,
                    () -> PeerSnapshot.read(json.getBytes(StandardCharsets.UTF_8)));
        }
    }
}
