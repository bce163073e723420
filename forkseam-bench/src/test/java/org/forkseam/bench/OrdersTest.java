package org.forkseam.bench;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.forkseam.standin.EngineStandin;
import org.junit.jupiter.api.Test;

import java.util.HashSet;
import java.util.Set;

/** Guards against rollouts that stall or are ordered by more than one lease holder. */
class OrdersTest extends FleetTestBase {
    private static final String DEPLOYMENT =
            """
            [deployment lm]
            selector = model=forecast-lm
            model = forecast-lm
            version = %s
            max-unavailable = 1
            """;

    private static final ObjectMapper JSON = new ObjectMapper();

    private int countEnginesOrdered(String version) {
        int n = 0;
        for (EngineStandin e : mFleet.engines().values()) {
            if (!e.orders().isEmpty()) {
                String last = e.orders().get(e.orders().size() - 1);
                n += last.contains("\"version\":\"" + version + "\"") ? 1 : 0;
            }
        }
        return n;
    }

    @Test
    void enginesAreOrderedOneByOneAndALostLeaseHolderIsReplaced() throws Exception {
        assertThat(mCli.apply(DEPLOYMENT.formatted("2")).code()).isEqualTo(0);
        Await.until("all run version 2", () -> countEnginesOrdered("2") == 3);
        Set<String> tokens = fencingTokens();
        assertThat(tokens).hasSize(1);
        String holder = leaseHolder();
        if (holder.startsWith("entry-")) {
            mFleet.killRouter(holder);
        } else {
            mFleet.killSidecar(holder.substring("host-".length()));
        }
        int left = holder.startsWith("host-lm") ? 2 : 3;
        CliRunner cli = CliRunner.of(mFleet.daemons().get(0));
        assertThat(cli.apply(DEPLOYMENT.formatted("3")).code()).isEqualTo(0);
        Await.until(
                "a new lease holder orders version 3",
                () -> countEnginesOrdered("3") >= Math.min(1, left));
        assertThat(fencingTokens().size()).isGreaterThan(1);
    }

    private Set<String> fencingTokens() {
        Set<String> out = new HashSet<>();
        for (EngineStandin e : mFleet.engines().values()) {
            e.orders().forEach(o -> out.add(o.replaceAll(".*\"fence\":(\\d+).*", "$1")));
        }
        return out;
    }

    private String leaseHolder() throws Exception {
        String[] found = {""};
        Await.until(
                "a daemon holds the lease",
                () -> {
                    for (var d : mFleet.daemons()) {
                        JsonNode n = JSON.readTree(CliRunner.of(d).run("dump").out());
                        if (n.path("rollouts").path("lm").path("holder").asBoolean()) {
                            found[0] = n.path("host").asText();
                        }
                    }
                    return !found[0].isEmpty();
                });
        return found[0];
    }
}
