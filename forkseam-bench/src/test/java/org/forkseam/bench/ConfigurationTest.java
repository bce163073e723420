package org.forkseam.bench;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.daemon.Daemon;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Guards against accepted configuration changes being lost, hidden or not propagated. */
class ConfigurationTest extends FleetTestBase {
    private static double version(Daemon d) {
        return d.registry().get("forkseam.config.version").gauge().value();
    }

    @Test
    void concurrentChangeConflictsAndShowsTheAcceptedOne() throws Exception {
        CliRunner other = CliRunner.of(mRouter2);
        CompletableFuture<CliRunner.Result> a =
                CompletableFuture.supplyAsync(() -> mCli.run("label", "team", "t1", "x=a"));
        CompletableFuture<CliRunner.Result> b =
                CompletableFuture.supplyAsync(() -> other.run("label", "team", "t2", "x=b"));
        int accepted = (a.get().code() == 0 ? 1 : 0) + (b.get().code() == 0 ? 1 : 0);
        assertThat(accepted).isAtLeast(1);
        if (accepted == 1) {
            CliRunner.Result rejected = a.get().code() == 0 ? b.get() : a.get();
            assertThat(rejected.code()).isEqualTo(1);
            assertThat(rejected.out()).contains("conflict");
            assertThat(rejected.out()).contains("[team t");
        }
    }

    @Test
    void staleBaseIsRefusedAndNothingChanges() throws Exception {
        mCli.run("label", "team", "t1", "x=a");
        Path f = Files.createTempFile("c", ".ini");
        Files.writeString(f, "[team t9]\nweight = 2\n");
        CliRunner.Result r = mCli.run("apply", "-f", f.toString(), "--base", "1");
        assertThat(r.code()).isEqualTo(1);
        assertThat(r.out()).contains("latest version is 2");
        assertThat(mCli.run("get", "teams").out()).doesNotContain("t9");
    }

    @Test
    void acceptedChangeIsReportedDespiteLostStoreResponse() throws Exception {
        mFleet.platform().tableFaults().loseResponses(1);
        CliRunner.Result r = mCli.run("label", "team", "t1", "x=a");
        assertThat(r.out()).contains("accepted version 2");
        waitForConfig(2);
    }

    @Test
    void acceptedChangeReachesAllDaemonsDespiteStoreOutage() throws Exception {
        assertThat(mCli.run("label", "team", "t1", "x=a").code()).isEqualTo(0);
        mFleet.platform().tableFaults().setDown(true);
        waitForConfig(2);
    }

    @Test
    void storeOutageRefusesChangesAndKeepsServing() throws Exception {
        mFleet.platform().tableFaults().setDown(true);
        CliRunner.Result r = mCli.run("label", "team", "t1", "x=a");
        assertThat(r.code()).isEqualTo(1);
        assertThat(r.out()).contains("not written");
        assertComplete(chat(mRouter1, "a", true, Map.of()), "a");
        assertThat(version(mRouter1)).isEqualTo(1);
    }

    @Test
    void daemonStartedDuringStoreOutageLoadsConfigFromPeers() throws Exception {
        mFleet.platform().tableFaults().setDown(true);
        mFleet.platform().objectStoreFaults().setDown(true);
        InetSocketAddress address = mFleet.sidecar("lm-01").wireAddress();
        mFleet.killSidecar("lm-01");
        Daemon d = mFleet.restartSidecar("lm-01", address);
        Await.until("the restarted sidecar has the configuration", () -> version(d) == 1);
        Daemon r = mFleet.addRouter("entry-3", "hall-c", "std");
        Await.until("the new router has the configuration", () -> version(r) == 1);
        assertComplete(chat(r, "a", true, Map.of()), "a");
    }

    @Test
    void changedSelectorTakesEffect() throws Exception {
        mCli.run("label", "target", "lm-03", "tier=canary");
        CliRunner.Result r = mCli.apply("[pool lm]\nselector = model=forecast-lm,tier=canary\n");
        assertThat(r.out()).contains("accepted");
        waitForConfig(3);
        for (int i = 0; i < 6; i++) {
            assertThat(chat(mRouter2, "n" + i, false, Map.of()).header("target"))
                    .isEqualTo("lm-03");
        }
        assertThat(mCli.run("config", "rollback", "1").code()).isEqualTo(0);
        waitForConfig(4);
        assertThat(mCli.run("get", "pools", "lm").out()).doesNotContain("canary");
    }

    @Test
    void changeThatEmptiesAPoolIsRefused() throws Exception {
        CliRunner.Result r = mCli.apply("[pool lm]\nselector = model=none\n");
        assertThat(r.code()).isEqualTo(1);
        assertThat(r.out()).contains("[pool lm] selector = model=none: allowed");
        assertThat(version(mRouter1)).isEqualTo(1);
    }
}
