package org.forkseam.bench;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.label.Labels;
import org.forkseam.core.member.HostEntry;
import org.forkseam.daemon.DaemonMain;
import org.forkseam.standin.EngineStandin;
import org.forkseam.standin.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Runs two routers and three sidecars as separate processes, started from settings files. */
class ProcessTest {
    private static final String MODEL = "forecast-lm";

    @TempDir Path mDir;

    private final RouterClient mClient = new RouterClient();
    private final Map<String, Process> mProcesses = new HashMap<>();
    private final List<EngineStandin> mEngines = new ArrayList<>();
    private final Map<String, InetSocketAddress> mCallers = new TreeMap<>();
    private String mOperators;
    private PlatformStandin mPlatform;

    @BeforeEach
    void start() throws Exception {
        mPlatform = PlatformStandin.start();
        for (int i = 1; i <= 2; i++) {
            router("entry-" + i);
        }
        for (int i = 1; i <= 3; i++) {
            sidecar("lm-0" + i);
        }
    }

    @AfterEach
    void stop() throws Exception {
        mProcesses.values().forEach(Process::destroyForcibly);
        for (EngineStandin e : mEngines) {
            e.stop();
        }
        mPlatform.stop();
    }

    private static InetSocketAddress freeAddress() throws Exception {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) s.getLocalSocketAddress();
        }
    }

    private void router(String host) throws Exception {
        InetSocketAddress callers = freeAddress();
        mCallers.put(host, callers);
        String extraSettings =
                "[callers]\nlisten = %s\nticket-key = ticket-key-of-tests\n"
                        .formatted(LocalFleet.toHostPort(callers));
        daemon(host, "router", extraSettings, Labels.of(Map.of("role", "router")));
    }

    private void sidecar(String target) throws Exception {
        EngineStandin e =
                EngineStandin.start(target, new EngineStandin.Speed(8, 1000, 5, 1 << 20), true);
        mEngines.add(e);
        String extraSettings =
                "[target]\nname = %s\nkind = engine\nurl = %s\ncapacity = 8\n"
                        .formatted(target, e.url());
        Map<String, String> labels =
                Map.of("role", "sidecar", "target", target, "model", MODEL, "capacity", "8");
        daemon("host-" + target, "sidecar", extraSettings, Labels.of(labels));
    }

    private void daemon(String host, String role, String extraSettings, Labels labels)
            throws Exception {
        InetSocketAddress wire = freeAddress();
        InetSocketAddress operators = freeAddress();
        mOperators = role.equals("router") ? LocalFleet.toHostPort(operators) : mOperators;
        String text =
                """
                [daemon]
                role = %s
                host = %s
                failure-domain = hall-a
                [wire]
                listen = %s
                key = wire-key-of-tests
                [operators]
                listen = %s
                key = operators-key
                [platform]
                table-service = %s
                object-store = %s
                host-list = %s
                host-list-ms = 200
                """
                        .formatted(
                                role,
                                host,
                                LocalFleet.toHostPort(wire),
                                LocalFleet.toHostPort(operators),
                                mPlatform.tableUrl(),
                                mPlatform.bucketUrl(),
                                mPlatform.hostsUrl());
        Path file = Files.writeString(mDir.resolve(host + ".ini"), text + extraSettings);
        mProcesses.put(host, start(file.toString()));
        mPlatform.putHost(new HostEntry(host, LocalFleet.toHostPort(wire), false, labels));
    }

    private Process start(String... settings) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new ArrayList<>(List.of(java, "-Xmx128m", "-XX:+UseSerialGC"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(DaemonMain.class.getName(), "--settings"));
        command.addAll(List.of(settings));
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(mDir.resolve(System.nanoTime() + ".log").toFile())
                .start();
    }

    private CliRunner.Result runCli(String... args) {
        return CliRunner.at(mOperators, "operators-key").run(args);
    }

    @Test
    void servesStreamsThroughBothRoutersAndStopsGracefully() throws Exception {
        Await.until(
                "all daemons answer", () -> runCli("get", "targets").out().lines().count() == 4);
        Path config =
                Files.writeString(
                        mDir.resolve("fleet.conf"),
"""
[pool lm]
selector = model=forecast-lm
max-load-multiple = 4
[intent all]
pool = lm
""");
        assertThat(runCli("apply", "-f", config.toString()).code()).isEqualTo(0);
        for (InetSocketAddress r : mCallers.values()) {
            Await.until(
                    "ready", () -> mClient.send(r, "GET", "/readyz", "", Map.of()).status() == 200);
        }
        List<CompletableFuture<RouterClient.Response>> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            InetSocketAddress r = mCallers.get("entry-" + (1 + i % 2));
            String body = FleetTestBase.body("g" + i, 60, true);
            all.add(
                    CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return mClient.chat(r, body, Map.of());
                                } catch (InterruptedException e) {
                                    throw new IllegalStateException(e);
                                }
                            }));
        }
        Await.until("streams run", () -> mEngines.stream().mapToInt(EngineStandin::load).sum() > 0);
        mProcesses.get("host-lm-02").destroy();
        for (int i = 0; i < 20; i++) {
            RouterClient.Response a = all.get(i).get();
            assertThat(a.status()).isEqualTo(200);
            assertThat(a.text()).isEqualTo(FleetTestBase.expected("g" + i, 60));
            assertThat(a.complete()).isTrue();
        }
        Process stopped = mProcesses.get("host-lm-02");
        assertThat(stopped.waitFor(30, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void frozenSidecarFailsOverToAnotherTarget() throws Exception {
        Await.until(
                "all daemons answer", () -> runCli("get", "targets").out().lines().count() == 4);
        Path config = Files.writeString(mDir.resolve("f"), "[pool lm]\n[intent all]\npool = lm\n");
        assertThat(runCli("apply", "-f", config.toString()).code()).isEqualTo(0);
        InetSocketAddress r = mCallers.get("entry-1");
        Await.until("ready", () -> mClient.send(r, "GET", "/readyz", "", Map.of()).status() == 200);
        String body = FleetTestBase.body("a", 400, false);
        CompletableFuture<RouterClient.Response> answer =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return mClient.chat(r, body, Map.of());
                            } catch (InterruptedException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        Await.until("an engine is busy", () -> mEngines.stream().anyMatch(e -> e.load() > 0));
        int busy = mEngines.get(0).load() > 0 ? 1 : mEngines.get(1).load() > 0 ? 2 : 3;
        Process frozen = mProcesses.get("host-lm-0" + busy);
        signal("STOP", frozen);
        RouterClient.Response a = answer.get();
        signal("CONT", frozen);
        assertThat(a.status()).isEqualTo(200);
        assertThat(a.text()).isEqualTo(FleetTestBase.expected("a", 400));
        assertThat(a.header("target")).isNotEqualTo("lm-0" + busy);
    }

    private static void signal(String name, Process p) throws Exception {
        String pid = Long.toString(p.pid());
        assertThat(new ProcessBuilder("kill", "-" + name, pid).start().waitFor()).isEqualTo(0);
    }

    @Test
    void wrongSettingsEndWithExitCode2AndNothingStarted() throws Exception {
        Path file = Files.writeString(mDir.resolve("bad.ini"), "[daemon]\nrole = router\n");
        Process p = start(file.toString());
        assertThat(p.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(p.exitValue()).isEqualTo(2);
        Process ok = start(mDir.resolve("entry-1.ini").toString(), "--check");
        assertThat(ok.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(ok.exitValue()).isEqualTo(0);
    }
}
