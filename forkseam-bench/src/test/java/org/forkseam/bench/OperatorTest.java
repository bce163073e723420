package org.forkseam.bench;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.forkseam.daemon.Daemon;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Guards the command line, the admin API and the commands of the operators' documentation. */
class OperatorTest extends FleetTestBase {
    private static final Path PAGES = Path.of("..", "docs", "operators");

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "conjure                       | 2 | command conjure; allowed: apply",
                "get gnomes                    | 2 | gnomes; allowed: hosts, intents",
                "get targets lm-99             | 2 | targets lm-99; allowed: gauge-01",
                "get targets --selector a,,b   | 2 | --selector: found",
                "get                           | 2 | KIND",
                "drain lm-99                   | 2 | target lm-99; allowed: gauge-01",
                "label planet x a=b            | 2 | planet; allowed: target or team",
                "label team t a=b=c d          | 2 | nothing was changed",
                "apply -f /does/not/exist.ini  | 2 | cannot be read",
                "config rollback 77            | 1 | version 77",
                "config conjure                | 2 | conjure; allowed: status",
                "top --output yaml             | 2 | --output yaml; allowed: table, json",
                "top --key wrong-key           | 1 | wrong or missing bearer key",
                "top --address 127.0.0.1:1     | 3 | cannot be reached",
                "top --address here            | 2 | allowed: IP:PORT"
            })
    void invalidCommandPrintsOneLineAndChangesNothing(String command, int code, String message) {
        CliRunner.Result r = mCli.run(command.trim().split(" +"));
        assertWithMessage(r.out() + r.err()).that(r.code()).isEqualTo(code);
        assertThat(r.err().lines().findFirst().orElse("")).contains(message.trim());
        assertThat(mCli.run("config", "history").out().lines().count()).isEqualTo(2);
    }

    @Test
    void everyCommandHasHelpWithAnExample() {
        for (String c : List.of("apply", "get", "label", "drain", "config", "explain", "top")) {
            CliRunner.Result r = mCli.run(c, "--help");
            assertThat(r.code()).isEqualTo(0);
            assertThat(r.out()).contains("example: forkseam " + c);
        }
    }

    @Test
    void explainShowsTheRouteOfARequestAcrossDaemons() throws Exception {
        chat(mRouter1, "a", false, Map.of("Request-Id", "why-1"));
        CliRunner.Result r = CliRunner.of(mRouter2).run("explain", "why-1");
        assertThat(r.code()).isEqualTo(0);
        assertThat(r.out()).contains("intent chats pool lm");
        assertThat(r.out()).contains("candidate why=HOME");
        assertThat(r.out()).contains("started");
        assertThat(r.out()).contains("answered");
        assertThat(mCli.run("explain", "never-seen").code()).isEqualTo(1);
    }

    @Test
    void dumpHidesSecretsAndMetricsAreServed() throws Exception {
        String dump = mCli.run("dump").out();
        assertThat(dump).contains("config_version");
        assertThat(dump).doesNotContain(LocalFleet.OPERATORS_KEY);
        assertThat(mRouter1.registry().scrape()).contains("forkseam_router_requests_total");
    }

    @Test
    void requestsWithoutAKeyAreCountedAndRejected() throws Exception {
        RouterClient.Response a =
                mClient.send(mRouter1.operatorsAddress(), "GET", "/v1/dump", "", Map.of());
        assertThat(a.status()).isEqualTo(401);
        assertThat(a.text()).doesNotContain("hosts");
        assertThat(mRouter1.registry().get("forkseam.admin.unauthorized").counter().count())
                .isEqualTo(1.0);
    }

    /** Runs every documentation line that starts with {@code $ forkseam}. */
    @Test
    void commandsOnThePagesWork() throws Exception {
        chat(mRouter1, "a", false, Map.of("Request-Id", "alert-7"));
        int run = 0;
        try (Stream<Path> pages = Files.list(PAGES)) {
            for (Path page : pages.sorted().toList()) {
                for (String line : Files.readAllLines(page)) {
                    String l = line.trim();
                    if (l.startsWith("$ forkseam ")) {
                        runFromPage(page, l.substring("$ forkseam ".length()));
                        run++;
                    }
                }
            }
        }
        assertThat(run).isGreaterThan(15);
    }

    private void runFromPage(Path page, String command) {
        String[] args = command.replace("samples/", "../samples/").split(" +");
        CliRunner.Result r = mCli.run(args);
        assertWithMessage(page.getFileName() + ": " + command + "\n" + r.out() + r.err())
                .that(r.code())
                .isEqualTo(0);
        for (Daemon d : mFleet.daemons()) {
            assertThat(d.wireAddress()).isNotNull();
        }
    }
}
